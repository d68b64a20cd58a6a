//! News items that frames carry.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::writer::append;
use crate::endpoint;
use crate::load;
use crate::mark;
use crate::member;
use crate::suspicion;
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
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// A member's record.
    Member(member::Record),
    /// An endpoint leaves.
    Mark(mark::Mark),
    /// The highest configuration version in force at the sender.
    Config(u64),
    /// An endpoint's load.
    Load(load::Load),
    /// A speaker's sign of life.
    Beat(zone::Beat),
    /// A service's load in a zone.
    Summary(zone::Summary),
    /// An entry's use by an organisation.
    Use(usage::Entry),
    /// A zone's use by an organisation.
    ZoneUse(usage::Zone),
    /// An endpoint died under a request.
    Death(suspicion::Death),
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
    /// The configuration.
    Config,
    /// An endpoint's load.
    Load(tag::Short),
    /// A speaker's sign of life.
    Beat(tag::Short),
    /// A service in a zone.
    Summary(tag::Short, tag::Short),
    /// An organisation at an entry.
    Use(tag::Short, tag::Short),
    /// An organisation in a zone.
    ZoneUse(tag::Short, tag::Short),
    /// A request and the endpoint that died under it.
    Death(bergamotshift_core::fingerprint::Fingerprint, tag::Short),
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
            Self::Config(_) => Key::Config,
            Self::Load(load) => Key::Load(load.endpoint),
            Self::Beat(beat) => Key::Beat(beat.speaker),
            Self::Summary(summary) => Key::Summary(summary.zone, summary.service),
            Self::Use(usage) => Key::Use(usage.organisation, usage.entry),
            Self::ZoneUse(usage) => Key::ZoneUse(usage.organisation, usage.zone),
            Self::Death(death) => Key::Death(death.fingerprint, death.endpoint),
            Self::Term(term) => Key::Term(term.zone),
            Self::Digest(_) => Key::Digest,
        }
    }

    /// Returns whether the item concerns its own zone only.
    pub const fn is_local(&self) -> bool {
        matches!(self, Self::Load(_) | Self::Use(_))
    }

    /// Returns whether the next publication makes up for this one when it gets lost.
    pub const fn is_passing(&self) -> bool {
        matches!(
            self,
            Self::Load(_) | Self::Use(_) | Self::ZoneUse(_) | Self::Beat(_) | Self::Summary(_)
        )
    }

    /// Returns the number that stands for the kind on the wire.
    pub(super) const fn kind(&self) -> u8 {
        match self {
            Self::Member(_) => 1,
            Self::Mark(_) => 2,
            Self::Config(_) => 3,
            Self::Load(_) => 4,
            Self::Beat(_) => 5,
            Self::Summary(_) => 6,
            Self::Use(_) => 7,
            Self::ZoneUse(_) => 8,
            Self::Death(_) => 9,
            Self::Term(_) => 10,
            Self::Digest(_) => 11,
        }
    }

    /// Appends the item without its kind.
    pub(super) fn encode(&self, out: Vec<u8>) -> Vec<u8> {
        match self {
            Self::Member(value) => append(value, out),
            Self::Mark(value) => append(value, out),
            Self::Config(value) => append(value, out),
            Self::Load(value) => append(value, out),
            Self::Beat(value) => append(value, out),
            Self::Summary(value) => append(value, out),
            Self::Use(value) => append(value, out),
            Self::ZoneUse(value) => append(value, out),
            Self::Death(value) => append(value, out),
            Self::Term(value) => append(value, out),
            Self::Digest(value) => append(value, out),
        }
    }

    /// Reads a group of items of one kind; an unknown kind or a broken rest is left out.
    pub(super) fn decode_group(kind: u8, bytes: &[u8], out: &mut Vec<Self>) {
        match kind {
            1 => read(bytes, Self::Member, out),
            2 => read(bytes, Self::Mark, out),
            3 => read(bytes, Self::Config, out),
            4 => read(bytes, Self::Load, out),
            5 => read(bytes, Self::Beat, out),
            6 => read(bytes, Self::Summary, out),
            7 => read(bytes, Self::Use, out),
            8 => read(bytes, Self::ZoneUse, out),
            9 => read(bytes, Self::Death, out),
            10 => read(bytes, Self::Term, out),
            11 => read(bytes, Self::Digest, out),
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
