//! Hashes that stand for names on the wire.
//!
//! A name takes twenty bytes or more, and the control traffic of a large fleet has no room for that in each load
//! report.

use core::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Four-byte hash of an endpoint, zone, service or organisation.
///
/// About one in ten thousand fleets of 600 endpoints has two names with the same tag. Tags therefore identify only
/// hints (loads and usage), and never a leaving mark, an address or a decision on a single request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Short([u8; 4]);

impl Short {
    /// Returns the tag of a name.
    pub fn of(name: impl AsRef<str>) -> Self {
        Self::of_incarnation(name, 0)
    }

    /// Returns the tag of one incarnation of a name.
    pub fn of_incarnation(name: impl AsRef<str>, incarnation: u64) -> Self {
        let hash = xxh3_64_with_seed(name.as_ref().as_bytes(), incarnation);
        Self((hash as u32).to_le_bytes())
    }
}

/// Eight-byte hash of one incarnation of an entry.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Long([u8; 8]);

impl Long {
    /// Tag of an entry whose name the sender does not know yet.
    pub const UNKNOWN: Self = Self([0; 8]);

    /// Returns the tag of one incarnation of a name.
    pub fn of_incarnation(name: impl AsRef<str>, incarnation: u64) -> Self {
        Self(xxh3_64_with_seed(name.as_ref().as_bytes(), incarnation).to_le_bytes())
    }

    /// Returns the tag as a number.
    pub const fn get(self) -> u64 {
        u64::from_le_bytes(self.0)
    }

    /// Returns the first four bytes as a short tag.
    pub const fn short(self) -> Short {
        let [a, b, c, d, ..] = self.0;
        Short([a, b, c, d])
    }
}

impl fmt::Debug for Long {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Long({:016x})", self.get())
    }
}
