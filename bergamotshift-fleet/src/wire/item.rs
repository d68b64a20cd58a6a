//! Gossip items that frames carry.

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

/// Hashes of the sender's state; when they differ, each side sends the other its state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// Hash of the live members of each zone.
    pub members: Vec<(tag::Short, [u8; 4])>,
    /// Hash of the leaving marks.
    pub marks: [u8; 4],
    /// Hash of the permanent notes.
    pub notes: [u8; 4],
}

/// One update of the gossiped state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// Record of a member.
    Member(member::Record),
    /// Mark of an endpoint that leaves.
    Mark(mark::Mark),
    /// Note of another module of the entry.
    Note(note::Note),
    /// Load of an endpoint.
    Load(load::Load),
    /// Heartbeat of a speaker.
    Heartbeat(zone::Heartbeat),
    /// Load of a service in a zone.
    Summary(zone::Summary),
    /// Rates at which an entry or a zone serves organisations.
    Usage(usage::Update),
    /// Term by which a zone's speakers are chosen.
    Term(zone::Term),
    /// Hashes of the sender's state.
    Digest(Digest),
}

/// Subject of an item; a newer item replaces an older one with the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// Tag of the member's incarnation.
    Member(tag::Long),
    /// Endpoint that leaves.
    Mark(endpoint::Id),
    /// Topic of the note and its key within the topic.
    Note(note::Topic, u128),
    /// Tag of the endpoint.
    Load(tag::Short),
    /// Tag of the speaker.
    Heartbeat(tag::Short),
    /// Tags of the zone and of the service.
    Summary(tag::Short, tag::Short),
    /// Entry or zone, and the part of its rates.
    Usage(usage::Place, u8),
    /// Tag of the zone.
    Term(tag::Short),
    /// The digest; a frame carries at most one.
    Digest,
}

impl Item {
    /// Returns the key of the item.
    pub fn key(&self) -> Key {
        match self {
            Self::Member(record) => Key::Member(record.tag()),
            Self::Mark(mark) => Key::Mark(mark.endpoint.clone()),
            Self::Note(note) => Key::Note(note.topic, note.key),
            Self::Load(load) => Key::Load(load.endpoint),
            Self::Heartbeat(heartbeat) => Key::Heartbeat(heartbeat.speaker),
            Self::Summary(summary) => Key::Summary(summary.zone, summary.service),
            Self::Usage(usage) => Key::Usage(usage.place, usage.part),
            Self::Term(term) => Key::Term(term.zone),
            Self::Digest(_) => Key::Digest,
        }
    }

    /// Returns whether both items carry the same update, whatever their ages.
    pub fn is_same_update(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Load(left), Self::Load(right)) => (left.endpoint, left.sequence) == (right.endpoint, right.sequence),
            (Self::Mark(left), Self::Mark(right)) => left.endpoint == right.endpoint,
            (Self::Note(left), Self::Note(right)) => {
                (left.topic, left.key, left.version) == (right.topic, right.key, right.version)
            }
            (left, right) => left == right,
        }
    }

    /// Returns whether the item is of use only within the sender's zone.
    pub const fn is_zone_local(&self) -> bool {
        match self {
            Self::Load(_) => true,
            Self::Usage(usage) => matches!(usage.place, usage::Place::Entry(_)),
            _ => false,
        }
    }

    /// Returns whether the next publication replaces this one if it is lost.
    pub const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Load(_) | Self::Usage(_) | Self::Heartbeat(_) | Self::Summary(_)
        )
    }

    /// Returns the order in which items are added to a frame: persistent ones, then loads, then values that change more
    /// slowly.
    pub(crate) const fn precedence(&self) -> u8 {
        match self {
            Self::Load(_) => 1,
            Self::Usage(_) | Self::Heartbeat(_) | Self::Summary(_) => 2,
            _ => 0,
        }
    }

    /// Returns the number of the item's kind on the wire.
    pub(super) const fn kind(&self) -> u8 {
        match self {
            Self::Member(_) => 1,
            Self::Mark(_) => 2,
            Self::Note(_) => 3,
            Self::Load(_) => 4,
            Self::Heartbeat(_) => 5,
            Self::Summary(_) => 6,
            Self::Usage(_) => 7,
            Self::Term(_) => 8,
            Self::Digest(_) => 9,
        }
    }

    /// Appends the encoded item without its kind.
    pub(super) fn encode(&self, out: Vec<u8>) -> Vec<u8> {
        match self {
            Self::Member(value) => append(value, out),
            Self::Mark(value) => append(value, out),
            Self::Note(value) => append(value, out),
            Self::Load(value) => append(value, out),
            Self::Heartbeat(value) => append(value, out),
            Self::Summary(value) => append(value, out),
            Self::Usage(value) => append(value, out),
            Self::Term(value) => append(value, out),
            Self::Digest(value) => append(value, out),
        }
    }

    /// Decodes a group of items of one kind; skips an unknown kind and the rest of a group after a malformed item.
    pub(super) fn decode_group(kind: u8, bytes: &[u8], out: &mut Vec<Self>) {
        match kind {
            1 => read(bytes, Self::Member, out),
            2 => read(bytes, Self::Mark, out),
            3 => read(bytes, Self::Note, out),
            4 => read(bytes, Self::Load, out),
            5 => read(bytes, Self::Heartbeat, out),
            6 => read(bytes, Self::Summary, out),
            7 => read(bytes, Self::Usage, out),
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
