//! Removal of rows that nothing uses any more.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::MAX_GAP;

/// Rows that are not in use, and since when each of them has not been.
///
/// An entry that is cut off may let streams begin at a version whose registrations have lapsed, for as long as the cut lasts. So
/// a row is removed only while every entry is heard, and a time in which nobody looked does not count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retirement<K> {
    /// Time of the last update; `None` before the first one.
    updated: Option<Instant>,
    /// Digest of each row, and the time since which it has been unused and unchanged.
    unused: BTreeMap<K, (u64, Instant)>,
}

impl<K> Default for Retirement<K> {
    fn default() -> Self {
        Self {
            updated: None,
            unused: BTreeMap::new(),
        }
    }
}

impl<K: Clone + Ord> Retirement<K> {
    /// Updates which rows are in use, each given by its key, a digest of its content, which differs with each write, and whether
    /// it is used. Returns the rows that have been unused and unchanged for `retention`; they may be removed on the condition
    /// that they are still unchanged.
    pub fn update(
        &mut self,
        now: Instant,
        retention: Duration,
        rows: impl IntoIterator<Item = (K, u64, bool)>,
    ) -> Vec<K> {
        // Meanwhile the store or this entry was away, and another entry may have been cut off.
        if self.updated.is_some_and(|updated| now.since(updated) > MAX_GAP) {
            self.unused.clear();
        }
        self.updated = Some(now);
        let before = core::mem::take(&mut self.unused);
        let unused = rows.into_iter().filter(|(.., is_used)| !is_used);
        self.unused = unused
            .map(|(key, digest, _)| {
                let known = before.get(&key).filter(|(known, _)| *known == digest);
                let since = known.map_or(now, |(_, since)| *since);
                (key, (digest, since))
            })
            .collect();
        let due = self
            .unused
            .iter()
            .filter(|(_, (_, since))| now.since(*since) >= retention);
        due.map(|(key, _)| key.clone()).collect()
    }

    /// Forgets all rows, as it is not known which ones are in use: this entry is not in touch, or another one is not heard.
    pub fn clear(&mut self) {
        self.unused.clear();
    }
}
