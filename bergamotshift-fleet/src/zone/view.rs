//! What an entry knows of one other zone.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;

use super::Beat;
use super::Reach;
use crate::load;
use crate::tag;

/// What an entry knows of one zone, its own included.
#[derive(Clone, Debug)]
pub struct View {
    /// The term by which the zone's speakers are chosen.
    pub term: u32,
    /// When one of the zone's entries last answered or asked this entry.
    pub contact: Option<Instant>,
    /// Probes from this entry in a row that nobody in the zone answered.
    pub failures: u32,
    /// When news of the zone last arrived, by whatever way.
    pub news: Instant,
    beats: BTreeMap<tag::Short, Heard>,
}

#[derive(Clone, Debug)]
struct Heard {
    sequence: u16,
    at: Instant,
    lost: Vec<tag::Short>,
}

impl View {
    /// Starts a view of a zone that was heard of now.
    pub const fn new(now: Instant) -> Self {
        Self {
            term: 0,
            contact: None,
            failures: 0,
            news: now,
            beats: BTreeMap::new(),
        }
    }

    /// Takes a beat in and returns whether it is news.
    pub fn merge(&mut self, now: Instant, beat: &Beat) -> bool {
        let is_news = self
            .beats
            .get(&beat.speaker)
            .is_none_or(|heard| load::is_newer(beat.sequence, heard.sequence));
        if is_news {
            let heard = Heard {
                sequence: beat.sequence,
                at: now,
                lost: beat.lost.clone(),
            };
            self.beats.insert(beat.speaker, heard);
            self.news = now;
        }
        is_news
    }

    /// Forgets beats older than `age`.
    pub fn expire(&mut self, now: Instant, age: Duration) {
        self.beats.retain(|_, heard| now.since(heard.at) < age);
    }

    /// Returns whether every speaker of this zone that was heard lately fails to reach `other`.
    ///
    /// One speaker that still gets through is enough for news to pass, so only all of them together count.
    pub fn all_lost(&self, other: tag::Short) -> bool {
        !self.beats.is_empty() && self.beats.values().all(|heard| heard.lost.contains(&other))
    }

    /// Returns how the zone is reached, given what this entry's own zone says of it.
    pub fn reach(&self, now: Instant, is_lost_to_own_zone: bool, silence: Duration) -> Reach {
        if now.since(self.news) >= silence {
            Reach::Lost
        } else if is_lost_to_own_zone {
            Reach::Relayed
        } else {
            Reach::Direct
        }
    }
}
