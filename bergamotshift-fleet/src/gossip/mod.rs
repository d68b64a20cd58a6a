//! Queue of updates that are piggybacked on probes and their answers.

use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;

use crate::load;
use crate::wire::Item;
use crate::wire::Key;
use crate::wire::Writer;

/// Items that a peer has just sent, by key.
pub type Received = BTreeMap<Key, Item>;

/// Updates that are still to be sent, each a limited number of times.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pending: BTreeMap<Key, Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    item: Item,
    queued: Instant,
    sends_left: u8,
}

impl Queue {
    /// Queues an item to be sent `sends` times; it replaces an older item with the same key.
    pub fn push(&mut self, now: Instant, item: Item, sends: u8) {
        let pending = Pending {
            item,
            queued: now,
            sends_left: sends,
        };
        self.pending.insert(pending.item.key(), pending);
    }

    /// Reduces the remaining sends of an update by one when a peer sends the same update: most members have it by then.
    pub fn count_duplicate(&mut self, item: &Item) {
        let key = item.key();
        if self
            .pending
            .get(&key)
            .is_some_and(|pending| pending.item.is_same_update(item))
        {
            self.consume_send(&key);
        }
    }

    /// Fills a frame with persistent items first, and among equals with those that were sent least often.
    ///
    /// With `is_cross_zone` set, items of use only within the own zone are left out. Items in `received`, which the
    /// receiver itself has just sent, are left out too, unless this entry has a newer version.
    pub fn fill(&mut self, now: Instant, writer: &mut Writer, is_cross_zone: bool, received: &Received) {
        /// Free bytes below which not even the smallest item fits.
        const MIN_ROOM: usize = 8;
        /// Number of items that did not fit after which the frame counts as full.
        const MAX_MISSES: usize = 3;
        let mut order: Vec<(&Key, &Pending)> = self
            .pending
            .iter()
            .filter(|(_, pending)| !is_cross_zone || !pending.item.is_zone_local())
            .filter(|(key, pending)| {
                let known = received.get(*key);
                known.is_none_or(|known| !known.is_same_update(&pending.item))
            })
            .collect();
        order.sort_unstable_by_key(|(_, pending)| {
            let sent = u8::MAX - pending.sends_left;
            (pending.item.precedence(), sent, pending.queued)
        });
        let mut written = Vec::new();
        let mut misses = 0;
        for (key, pending) in order {
            if writer.room() < MIN_ROOM || misses >= MAX_MISSES {
                break;
            }
            if writer.push(&pending.with_age(now)) {
                written.push(key.clone());
            } else {
                misses += 1;
            }
        }
        for key in written {
            self.consume_send(&key);
        }
    }

    fn consume_send(&mut self, key: &Key) {
        let Some(pending) = self.pending.get_mut(key) else {
            return;
        };
        pending.sends_left -= 1;
        if pending.sends_left == 0 {
            self.pending.remove(key);
        }
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Pending {
    fn with_age(&self, now: Instant) -> Item {
        let waited = now.since(self.queued);
        let seconds = u16::try_from(waited.as_secs()).unwrap_or(u16::MAX);
        let mut item = self.item.clone();
        match &mut item {
            Item::Load(load) => load.age_ds = load.age_ds.saturating_add(load::to_deciseconds(waited)),
            Item::Mark(mark) => mark.age_s = mark.age_s.saturating_add(seconds),
            Item::Note(note) => note.age_s = note.age_s.saturating_add(seconds),
            _ => {}
        }
        item
    }
}
