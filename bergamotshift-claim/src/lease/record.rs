//! Record of a lease in the platform's table.

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

/// Record of a duty's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Entry that holds the lease.
    pub holder: name::Entry,
    /// Incarnation of that entry, generated at random when its process starts.
    #[serde(rename = "life")]
    pub incarnation: attempt::Id,
    /// Fencing number, which increases with each holder.
    pub number: u64,
    /// Time for which the row may stay unchanged before the lease expires, in milliseconds.
    pub length: u32,
    /// Whether the holder released the duty, with none of its orders in flight any more.
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
    /// Returns an error if the body is empty, has an unknown layout or cannot be decoded.
    pub fn decode(body: &[u8]) -> Result<Self, codec::Error> {
        codec::decode(body)
    }

    /// Returns the time for which the row may stay unchanged before the lease expires.
    pub const fn length(&self) -> Duration {
        Duration::from_millis(self.length as u64)
    }

    /// Returns the write that stores this record if the row has version `base`; 0 requires that the row does not exist.
    pub fn write_over(&self, duty: &str, base: u64) -> Write {
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

/// Returns the table key of a duty's lease.
pub fn row(duty: &str) -> Key {
    Key::new("lease", duty)
}

/// Returns how many of the live `members` precede `entry` for a duty, by rendezvous hash.
///
/// Only the entries of the lowest ranks watch a duty, so the number of reads does not grow with the number of entries.
pub fn rank(duty: &str, entry: &name::Entry, members: &[name::Entry]) -> usize {
    let weight = |member: &name::Entry| (Fingerprint::of(duty, member.as_str(), "", b""), member.clone());
    let own = weight(entry);
    members.iter().filter(|member| weight(member) > own).count()
}
