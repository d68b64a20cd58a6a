//! News items that frames carry.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::writer::append;
use crate::endpoint;
use crate::load;
use crate::mark;
use crate::member;
use crate::note;
use crate::tag;
use crate::usage;
use crate::zone;

/// Hashes over what the sender holds; a difference makes both sides send theirs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// Per zone, the hash over its members.
    pub members: Vec<(tag::Short, [u8; 4])>,
    /// The hash over the leaving marks.
    pub marks: [u8; 4],
    /// The hash over the notes that are kept for good.
    pub notes: [u8; 4],
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// A member's record.
    Member(member::Record),
    /// An endpoint leaves.
    Mark(mark::Mark),
    /// News of another part of the entry.
    Note(note::Note),
    /// An endpoint's load.
    Load(load::Load),
    /// A speaker's sign of life.
    Beat(zone::Beat),
    /// A service's load in a zone.
    Summary(zone::Summary),
    /// What a place serves for organisations.
    Use(usage::Use),
    /// A zone's speakers change.
    Term(zone::Term),
    /// Hashes over what the sender holds.
    Digest(Digest),
}

/// What an item is about: newer news under the same key takes the place of older.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A member, by the tag of its life.
    Member(tag::Long),
    /// An endpoint's leaving.
    Mark(endpoint::Id),
    /// A note.
    Note(note::Topic, u128),
    /// An endpoint's load.
    Load(tag::Short),
    /// A speaker's sign of life.
    Beat(tag::Short),
    /// A service in a zone.
    Summary(tag::Short, tag::Short),
    /// A part of a place's use.
    Use(usage::Place, u8),
    /// A zone's term.
    Term(tag::Short),
    /// The digest.
    Digest,
}

impl Item {
    /// Returns what the item is about.
    pub fn key(&self) -> Key {
        match self {
            Self::Member(record) => Key::Member(record.tag()),
            Self::Mark(mark) => Key::Mark(mark.endpoint.clone()),
            Self::Note(note) => Key::Note(note.topic, note.key),
            Self::Load(load) => Key::Load(load.endpoint),
            Self::Beat(beat) => Key::Beat(beat.speaker),
            Self::Summary(summary) => Key::Summary(summary.zone, summary.service),
            Self::Use(usage) => Key::Use(usage.place, usage.part),
            Self::Term(term) => Key::Term(term.zone),
            Self::Digest(_) => Key::Digest,
        }
    }

    /// Returns whether both say the same, whatever their ages.
    pub fn is_same_news(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Load(left), Self::Load(right)) => (left.endpoint, left.sequence) == (right.endpoint, right.sequence),
            (Self::Mark(left), Self::Mark(right)) => left.endpoint == right.endpoint,
            (Self::Note(left), Self::Note(right)) => {
                (left.topic, left.key, left.version) == (right.topic, right.key, right.version)
            }
            (left, right) => left == right,
        }
    }

    /// Returns whether the item concerns its own zone only.
    pub const fn is_local(&self) -> bool {
        match self {
            Self::Load(_) => true,
            Self::Use(usage) => matches!(usage.place, usage::Place::Entry(_)),
            _ => false,
        }
    }

    /// Returns whether the next publication makes up for this one when it gets lost.
    pub const fn is_passing(&self) -> bool {
        matches!(self, Self::Load(_) | Self::Use(_) | Self::Beat(_) | Self::Summary(_))
    }

    /// Returns the order in which news goes along: what lasts, then loads, then what is slower to change.
    pub(crate) const fn precedence(&self) -> u8 {
        match self {
            Self::Load(_) => 1,
            Self::Use(_) | Self::Beat(_) | Self::Summary(_) => 2,
            _ => 0,
        }
    }

    /// Returns the number that stands for the kind on the wire.
    pub(super) const fn kind(&self) -> u8 {
        match self {
            Self::Member(_) => 1,
            Self::Mark(_) => 2,
            Self::Note(_) => 3,
            Self::Load(_) => 4,
            Self::Beat(_) => 5,
            Self::Summary(_) => 6,
            Self::Use(_) => 7,
            Self::Term(_) => 8,
            Self::Digest(_) => 9,
        }
    }

    /// Appends the item without its kind.
    pub(super) fn encode(&self, out: Vec<u8>) -> Vec<u8> {
        match self {
            Self::Member(value) => append(value, out),
            Self::Mark(value) => append(value, out),
            Self::Note(value) => append(value, out),
            Self::Load(value) => append(value, out),
            Self::Beat(value) => append(value, out),
            Self::Summary(value) => append(value, out),
            Self::Use(value) => append(value, out),
            Self::Term(value) => append(value, out),
            Self::Digest(value) => append(value, out),
        }
    }

    /// Reads a group of items of one kind; an unknown kind or a broken rest is left out.
    pub(super) fn decode_group(kind: u8, bytes: &[u8], out: &mut Vec<Self>) {
        match kind {
            1 => read(bytes, Self::Member, out),
            2 => read(bytes, Self::Mark, out),
            3 => read(bytes, Self::Note, out),
            4 => read(bytes, Self::Load, out),
            5 => read(bytes, Self::Beat, out),
            6 => read(bytes, Self::Summary, out),
            7 => read(bytes, Self::Use, out),
            8 => read(bytes, Self::Term, out),
            9 => read(bytes, Self::Digest, out),
            _ => {}
        }
    }
}

fn read<T: DeserializeOwned>(mut bytes: &[u8], make: impl Fn(T) -> Item, out: &mut Vec<Item>) {
    while !bytes.is_empty() {
        let Ok((value, rest)) = postcard::take_from_bytes(bytes) else {
            return;
        };
        out.push(make(value));
        bytes = rest;
    }
}
