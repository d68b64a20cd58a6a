//! The queue of news that goes along with probes and answers.

use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;

use crate::load;
use crate::wire::Item;
use crate::wire::Key;
use crate::wire::Writer;

/// News that still has to be told, each piece a bounded number of times.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pending: BTreeMap<Key, Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    item: Item,
    queued: Instant,
    left: u8,
}

impl Queue {
    /// Takes news in, to be told `times` times; it replaces older news of the same key.
    pub fn push(&mut self, now: Instant, item: Item, times: u8) {
        let pending = Pending {
            item,
            queued: now,
            left: times,
        };
        self.pending.insert(pending.item.key(), pending);
    }

    /// Fills a frame: lasting news first, and of each kind what was told least.
    ///
    /// With `is_far` set, news that concerns one zone only is left out.
    pub fn fill(&mut self, now: Instant, writer: &mut Writer, is_far: bool) {
        /// Below this, not even the smallest item fits.
        const LEAST_ROOM: usize = 8;
        let mut order: Vec<(bool, u8, Instant, Key)> = self
            .pending
            .iter()
            .filter(|(_, pending)| !(is_far && pending.item.is_local()))
            .map(|(key, pending)| {
                let passing = pending.item.is_passing();
                (passing, u8::MAX - pending.left, pending.queued, key.clone())
            })
            .collect();
        order.sort_unstable();
        for (.., key) in order {
            if writer.room() < LEAST_ROOM {
                return;
            }
            let Some(pending) = self.pending.get_mut(&key) else {
                continue;
            };
            if !writer.push(&pending.aged(now)) {
                continue;
            }
            pending.left -= 1;
            if pending.left == 0 {
                self.pending.remove(&key);
            }
        }
    }

    /// Returns the news under a key with its age brought up to date.
    pub fn get(&self, now: Instant, key: &Key) -> Option<Item> {
        self.pending.get(key).map(|pending| pending.aged(now))
    }

    /// Returns the number of pieces of news that wait.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Pending {
    fn aged(&self, now: Instant) -> Item {
        let waited = now.since(self.queued);
        let seconds = u16::try_from(waited.as_secs()).unwrap_or(u16::MAX);
        let mut item = self.item.clone();
        match &mut item {
            Item::Load(load) => load.age_ds = load.age_ds.saturating_add(load::tenths(waited)),
            Item::Mark(mark) => mark.age_s = mark.age_s.saturating_add(seconds),
            Item::Death(death) => death.age_s = death.age_s.saturating_add(seconds),
            _ => {}
        }
        item
    }
}
