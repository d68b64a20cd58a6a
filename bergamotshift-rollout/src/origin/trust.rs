//! Whether the declarations in the store are complete.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::MAX_GAP;

/// What an entry knows of restores of the store.
///
/// After a restore, entries declare again the versions that still have endpoints. Until streams of all others have ended, the
/// declarations that the store contains prove nothing. An entry that has started since does not know when the restore was, and
/// one that is cut off goes on at a version whose declaration may be lost. Once all entries were heard for as long as
/// declarations are kept, or had learned of the restore for as long, no stream goes on that began at such a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    /// Number of restores, and the time since which all entries have been heard or had learned of the last one, or at which this
    /// entry first saw the store after it.
    seen: Option<(u64, Instant)>,
    /// Time of the last look at the entries.
    looked: Option<Instant>,
    is_complete: bool,
}

impl Trust {
    /// Records the number of times that the store was restored, as an answer reported it.
    pub fn observe(&mut self, now: Instant, era: u64) {
        if self.seen.is_none_or(|(known, _)| era > known) {
            *self = Self {
                seen: Some((era, now)),
                looked: None,
                is_complete: era == 0,
            };
        }
    }

    /// Records whether all entries that may serve are heard or have learned of the last restore; `retention` is the time for which
    /// declarations are kept. Nothing is known of a time in which nobody looked.
    pub fn look(&mut self, now: Instant, retention: Duration, have_all_learned: bool) {
        let Some((_, since)) = &mut self.seen else {
            return;
        };
        let looked = self.looked.replace(now).unwrap_or(*since);
        if !have_all_learned || now.since(looked) > MAX_GAP {
            *since = now;
        }
        self.is_complete |= now.since(*since) >= retention;
    }

    /// Returns whether the declarations are complete.
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the version that began each stream of a service that goes on now, if that follows from its `declared` versions.
    /// They have to be read from the store after the caller asked.
    pub fn sole<'a, V: Eq>(&self, declared: impl IntoIterator<Item = &'a V>) -> Option<&'a V> {
        let mut declared = declared.into_iter();
        let first = declared.next()?;
        (self.is_complete && declared.all(|other| other == first)).then_some(first)
    }
}
