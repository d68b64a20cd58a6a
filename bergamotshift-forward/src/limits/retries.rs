//! Division of the retries that all entries may make together.

use bergamotshift_core::prelude::*;

use crate::random;

/// Fraction of the slack that is divided. The rest covers what hashes divide unevenly.
const SLACK_USED: f64 = 0.9;

/// Returns the number of retries of a service that one of `entries` entries may make beyond the ratio, of the `slack` that
/// all may make together.
///
/// What does not divide evenly goes to some of the entries, by the hash of their names. Rounded down for each entry, it
/// would leave most of the slack unused, and none at all in a fleet with more entries than slack.
pub fn retry_share(slack: f64, entries: usize, entry: &name::Entry) -> u32 {
    let share = slack * SLACK_USED / entries.max(1) as f64;
    share as u32 + u32::from(random::fraction_of(entry) < share.fract())
}
