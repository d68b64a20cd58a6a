//! How soon an answer is needed.

use serde::Deserialize;
use serde::Serialize;

/// How soon a request's answer is needed, from the service's rules or the caller's header.
///
/// The order is by precedence: `Urgent` sorts first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// A person waits for the answer; the service's latency target binds.
    Urgent,
    /// The answer is wanted soon; the target guides and does not bind.
    #[default]
    Normal,
    /// The answer may wait for cheap room until its deadline.
    Deferrable,
}
