//! The queue of news that goes along with probes and answers.

use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;

use crate::load;
use crate::wire::Item;
use crate::wire::Key;
use crate::wire::Writer;

/// What a peer just told.
pub type Told = BTreeMap<Key, Item>;

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

    /// Notes that a peer told known news again: most have it by now, so it is told once less.
    pub fn heard_again(&mut self, item: &Item) {
        let key = item.key();
        if self
            .pending
            .get(&key)
            .is_some_and(|pending| pending.item.is_same_news(item))
        {
            self.count_down(&key);
        }
    }

    /// Fills a frame: lasting news first, and of each kind what was told least.
    ///
    /// With `is_far` set, news that concerns one zone only is left out; so is what the receiver itself just told,
    /// unless this entry knows better by now.
    pub fn fill(&mut self, now: Instant, writer: &mut Writer, is_far: bool, told_by_it: &Told) {
        /// Below this, not even the smallest item fits.
        const LEAST_ROOM: usize = 8;
        /// After this many items that did not fit, the rest will hardly do better.
        const MOST_MISSES: usize = 3;
        let mut order: Vec<(&Key, &Pending)> = self
            .pending
            .iter()
            .filter(|(_, pending)| !is_far || !pending.item.is_local())
            .filter(|(key, pending)| {
                let told = told_by_it.get(*key);
                told.is_none_or(|told| !told.is_same_news(&pending.item))
            })
            .collect();
        order.sort_unstable_by_key(|(_, pending)| {
            let told = u8::MAX - pending.left;
            (pending.item.precedence(), told, pending.queued)
        });
        let mut told = Vec::new();
        let mut misses = 0;
        for (key, pending) in order {
            if writer.room() < LEAST_ROOM || misses >= MOST_MISSES {
                break;
            }
            if writer.push(&pending.aged(now)) {
                told.push(key.clone());
            } else {
                misses += 1;
            }
        }
        for key in told {
            self.count_down(&key);
        }
    }

    fn count_down(&mut self, key: &Key) {
        let Some(pending) = self.pending.get_mut(key) else {
            return;
        };
        pending.left -= 1;
        if pending.left == 0 {
            self.pending.remove(key);
        }
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
            Item::Note(note) => note.age_s = note.age_s.saturating_add(seconds),
            _ => {}
        }
        item
    }
}
