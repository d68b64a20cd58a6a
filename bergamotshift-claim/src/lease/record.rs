//! The lease's row.

use core::time::Duration;

use bergamotshift_core::attempt;
use bergamotshift_core::fingerprint::Fingerprint;
use bergamotshift_core::name;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Write;
use serde::Deserialize;
use serde::Serialize;

use crate::codec;

/// Who does a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The entry.
    pub holder: name::Entry,
    /// Which life of that entry, drawn at random when its process starts.
    pub life: attempt::Id,
    /// The fencing number; it grows with each holder.
    pub number: u64,
    /// How long the row may stand unchanged before the holder counts as gone, in milliseconds.
    pub length: u32,
    /// Whether the holder gave the duty up, with none of its orders on their way any more.
    pub released: bool,
}

impl Record {
    /// Encodes the record as a row's body.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a row's body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is empty, has an unknown layout or does not decode.
    pub fn decode(body: &[u8]) -> Result<Self, codec::Error> {
        codec::decode(body)
    }

    /// Returns how long the row may stand unchanged.
    pub const fn length(&self) -> Duration {
        Duration::from_millis(self.length as u64)
    }

    /// Returns the write that puts this record over the row's version `base`, where 0 means that no row exists.
    pub fn over(&self, duty: &str, base: u64) -> Write {
        let condition = match base {
            0 => Condition::Absent,
            version => Condition::Version(version),
        };
        Write {
            key: row(duty),
            condition,
            change: Change::Put(self.encode()),
        }
    }
}

/// Returns where a duty's lease is.
pub fn row(duty: &str) -> Key {
    Key::new("lease", duty)
}

/// Returns how many of the live `members` come before `entry` for this duty, by rendezvous hash.
///
/// Only the first few keep watch over a duty, so reads do not grow with the entries.
pub fn rank(duty: &str, entry: &name::Entry, members: &[name::Entry]) -> usize {
    let weight = |member: &name::Entry| (Fingerprint::of(duty, member.as_str(), "", b""), member.clone());
    let own = weight(entry);
    members.iter().filter(|member| weight(member) > own).count()
}
