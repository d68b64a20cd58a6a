//! Alarm on copies of the store's contents that grow old.

use core::time::Duration;

use bergamotshift_core::prelude::*;

/// Maximum age of a checkpoint before the entry reports what it covers as outdated; longer than any entry waits before it
/// reads the store itself.
pub const MAX_AGE: Duration = Duration::from_secs(3);

/// Change of whether a checkpoint is outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// It became outdated.
    Outdated,
    /// It was outdated for this long, and is no longer.
    Renewed(Duration),
}

/// Alarm on the age of a checkpoint. A store that answers without telling anything new leaves the checkpoint as it is,
/// so its age rises although no call fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Alarm {
    outdated_since: Option<Instant>,
}

impl Alarm {
    /// Returns the change, if any, that the age of a checkpoint means. `None` stands for the age before the first read,
    /// which is no change.
    pub fn update(&mut self, now: Instant, age: Option<Duration>) -> Option<Transition> {
        let is_outdated = age? > MAX_AGE;
        match self.outdated_since {
            None if is_outdated => {
                self.outdated_since = Some(now);
                Some(Transition::Outdated)
            }
            Some(since) if !is_outdated => {
                self.outdated_since = None;
                Some(Transition::Renewed(now.since(since)))
            }
            _ => None,
        }
    }
}
