//! Notes: versioned values of other modules that the fleet gossips without interpreting them.
//!
//! The head of the configuration and the suspicions of the quarantine are spread as notes. Each note has a topic, a key
//! within it and a version; the highest version of a key wins everywhere.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tag;

/// Topic of a note; a topic that an entry does not know is gossiped all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Topic(u8);

impl Topic {
    /// Head of the configuration, under a single key; permanent.
    pub const CONFIG: Self = Self(1);
    /// Deaths of endpoints while they processed a request; removed after [`Table::RETENTION`].
    pub const QUARANTINE: Self = Self(2);
    /// Evidence on parts of prompts that crash endpoints; removed after [`Table::RETENTION`].
    pub const PARTS: Self = Self(3);

    /// Returns whether notes of this topic are never removed.
    const fn is_permanent(self) -> bool {
        self.0 == Self::CONFIG.0
    }
}

/// Gossiped, versioned value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Note {
    /// Topic of the note.
    pub topic: Topic,
    /// Key within the topic.
    pub key: u128,
    /// Version of the value; the highest wins.
    pub version: u64,
    /// Time since the note was first published, in seconds.
    pub age_s: u16,
    /// Entry that published the note first.
    pub origin: tag::Long,
    /// Content, at most [`Note::MAX_BODY`] bytes.
    pub body: Vec<u8>,
}

impl Note {
    /// Maximum size of the content in bytes; two notes fit in a datagram.
    pub const MAX_BODY: usize = 480;
}

/// Notes that an entry holds.
#[derive(Clone, Debug, Default)]
pub struct Table {
    notes: BTreeMap<(Topic, u128), (Note, Instant)>,
    digest: u32,
}

impl Table {
    /// Time after which notes that are not permanent are removed.
    pub const RETENTION: Duration = Duration::from_mins(10);
    /// Number of notes at which new ones are refused, permanent ones excepted; bounds the memory that a burst can take.
    pub const CAPACITY: usize = 4_096;

    /// Adds a note and returns whether it is new.
    ///
    /// A note past its retention is refused; otherwise two entries could keep it alive between them.
    pub fn insert(&mut self, now: Instant, note: &Note) -> bool {
        let age = Duration::from_secs(u64::from(note.age_s));
        let is_old = !note.topic.is_permanent() && age >= Self::RETENTION;
        if is_old || note.body.len() > Note::MAX_BODY {
            return false;
        }
        let key = (note.topic, note.key);
        let known = self.notes.get(&key).map(|(known, _)| known.version);
        let is_full = known.is_none() && !note.topic.is_permanent() && self.notes.len() >= Self::CAPACITY;
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

    /// Returns all notes with their current ages.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = Note> {
        self.notes.values().map(move |(note, published)| Note {
            age_s: u16::try_from(now.since(*published).as_secs()).unwrap_or(u16::MAX),
            ..note.clone()
        })
    }

    /// Removes notes past their retention, permanent ones excepted.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |published: &Instant| now.since(*published) < Self::RETENTION;
        self.notes
            .retain(|(topic, _), (_, published)| topic.is_permanent() || is_recent(published));
    }

    /// Returns a hash of the permanent notes.
    pub const fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the number of notes.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Returns whether there are no notes.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }
}

fn hash(note: &Note) -> u32 {
    if !note.topic.is_permanent() {
        return 0;
    }
    xxh3_64_with_seed(&note.key.to_le_bytes(), note.version) as u32
}
