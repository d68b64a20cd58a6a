//! Job identifiers, and where a job's rows are.

use core::fmt;
use core::str::FromStr;

use bergamotshift_core::attempt;
use bergamotshift_core::table;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::digest::Digest;
use crate::scope::Scope;

/// The number of partitions over which jobs are spread; each is listed by one entry.
pub const SHARDS: u8 = 64;

/// Identifies a job, and tells where its rows are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id(attempt::Id);

impl Id {
    /// Makes an identifier from 128 random bits.
    pub const fn new(bits: u128) -> Self {
        Self(attempt::Id::new(bits))
    }

    /// Returns the identifier of the job that a caller's idempotency key belongs to.
    ///
    /// A re-send of the same key thus finds the job that the first sending left.
    pub fn of(scope: &Scope) -> Self {
        let organisation = scope.organisation.as_str().as_bytes();
        let service = scope.service.as_str().as_bytes();
        let digest = Digest::of_parts([b"job", organisation, service, scope.key.as_bytes()]);
        Self::new(digest.leading_bits())
    }

    /// Returns the partition's number.
    pub const fn shard(self) -> u8 {
        (self.0.get() >> 120) as u8 % SHARDS
    }

    /// Returns where the record is.
    pub fn record_row(self) -> table::Key {
        table::Key::new(format_smolstr!("job/{:02x}", self.shard()), self.to_string())
    }

    /// Returns where the open row is.
    pub fn open_row(self) -> table::Key {
        table::Key::new(open_partition(self.shard()), self.to_string())
    }
}

/// Returns the name of the partition that holds a shard's open rows.
pub fn open_partition(shard: u8) -> SmolStr {
    format_smolstr!("open/{shard:02x}")
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Id {
    type Err = attempt::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
