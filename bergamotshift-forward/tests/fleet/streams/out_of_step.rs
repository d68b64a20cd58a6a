//! Streams that begin at a new version while one entry is out of step, and are taken up there.

use super::check;
use super::series::Step;
use super::series::Step::*;

/// Times for which an entry is out of step, in milliseconds.
const SPANS: [u64; 4] = [300, 1_200, 3_000, 12_000];

/// Plays a release of one or several versions while an entry is out of step, and its return in the middle of callers.
fn release(begin: &[Step], end: &[Step]) {
    for span in SPANS {
        for joins in [vec![Join(1)], vec![Join(1), Wait(span / 4), Join(2)]] {
            for leaves in [vec![], vec![Leave(1)]] {
                let middle = [joins.as_slice(), &[Wait(span)], &leaves, &[Wait(span / 3)]].concat();
                check(&[&[Wait(2_000)], begin, &middle, end, &[Wait(6_000)]].concat());
            }
        }
    }
}

/// Guards against streams that are joined of two versions, as they are taken up at an entry that is cut off from the store and
/// from the others while endpoints of a new version join.
#[test]
fn streams_are_not_joined_at_an_entry_that_is_cut_off_beside_a_release() {
    release(&[Cut(0, true)], &[Cut(0, false)]);
}

/// Guards against the same at an entry that stands still.
#[test]
fn streams_are_not_joined_at_an_entry_that_stands_still_beside_a_release() {
    release(&[Pause(0, true)], &[Pause(0, false)]);
}

/// Guards against the same at an entry that hears neither of the registrations nor, as it asks, of other entries.
#[test]
fn streams_are_not_joined_at_an_entry_that_learns_nothing_beside_a_release() {
    release(
        &[Unlisted(0, true), Passive(0, true)],
        &[Passive(0, false), Unlisted(0, false)],
    );
}

/// Guards against the same at an entry that is killed while it is cut off, and starts as it is in touch again.
#[test]
fn streams_are_not_joined_at_an_entry_that_starts_again_beside_a_release() {
    release(&[Cut(0, true)], &[Kill(0), Cut(0, false), Start(0)]);
}
