//! Notes: news of other parts of the entry that the fleet spreads without reading it.
//!
//! The configuration's head and the suspicions of the quarantine travel so. Each note has a topic, a key within it and
//! a version; the highest version of a key wins everywhere.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tag;

/// What a note is about; a topic that an entry does not know is spread all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Topic(u8);

impl Topic {
    /// The head of the configuration, under one key. It is kept for good.
    pub const CONFIG: Self = Self(1);
    /// Deaths of endpoints under a request. They are forgotten after [`Table::RETENTION`].
    pub const QUARANTINE: Self = Self(2);

    /// Returns whether notes of this topic are kept for good.
    const fn is_kept(self) -> bool {
        self.0 == Self::CONFIG.0
    }
}

/// One note.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Note {
    /// What it is about.
    pub topic: Topic,
    /// What it is about within the topic.
    pub key: u128,
    /// The highest wins.
    pub version: u64,
    /// How long ago it was first told, in seconds.
    pub age_s: u16,
    /// Who told it first.
    pub origin: tag::Long,
    /// The content, at most [`Note::MOST`] bytes.
    pub body: Vec<u8>,
}

impl Note {
    /// Most bytes of content, so that two notes fit in a datagram.
    pub const MOST: usize = 480;
}

/// The notes that an entry holds.
#[derive(Clone, Debug, Default)]
pub struct Table {
    notes: BTreeMap<(Topic, u128), (Note, Instant)>,
    digest: u32,
}

impl Table {
    /// Notes that are not kept for good are forgotten after this.
    pub const RETENTION: Duration = Duration::from_mins(10);
    /// A burst takes no more room than this many notes.
    pub const CAPACITY: usize = 4_096;

    /// Takes a note in and returns whether it is news.
    ///
    /// A note past its retention is refused, else two entries could keep it alive between them.
    pub fn insert(&mut self, now: Instant, note: &Note) -> bool {
        let age = Duration::from_secs(u64::from(note.age_s));
        let is_old = !note.topic.is_kept() && age >= Self::RETENTION;
        if is_old || note.body.len() > Note::MOST {
            return false;
        }
        let key = (note.topic, note.key);
        let known = self.notes.get(&key).map(|(known, _)| known.version);
        let is_full = known.is_none() && !note.topic.is_kept() && self.notes.len() >= Self::CAPACITY;
        if is_full || known.is_some_and(|known| known >= note.version) {
            return false;
        }
        if let Some((known, _)) = self.notes.get(&key) {
            self.digest ^= hash(known);
        }
        self.digest ^= hash(note);
        self.notes.insert(key, (note.clone(), now - age));
        true
    }

    /// Returns a note.
    pub fn get(&self, topic: Topic, key: u128) -> Option<&Note> {
        self.notes.get(&(topic, key)).map(|(note, _)| note)
    }

    /// Returns all notes with their ages brought up to date.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = Note> {
        self.notes.values().map(move |(note, told)| Note {
            age_s: u16::try_from(now.since(*told).as_secs()).unwrap_or(u16::MAX),
            ..note.clone()
        })
    }

    /// Forgets old notes.
    pub fn expire(&mut self, now: Instant) {
        let is_young = |told: &Instant| now.since(*told) < Self::RETENTION;
        self.notes
            .retain(|(topic, _), (_, told)| topic.is_kept() || is_young(told));
    }

    /// Returns a hash over the notes that are kept for good.
    pub const fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the number of notes.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }
}

fn hash(note: &Note) -> u32 {
    if !note.topic.is_kept() {
        return 0;
    }
    xxh3_64_with_seed(&note.key.to_le_bytes(), note.version) as u32
}
