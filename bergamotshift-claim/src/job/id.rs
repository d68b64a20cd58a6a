//! Job identifiers and the table keys of a job's rows.

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

/// Number of table partitions over which jobs are distributed; each is listed by one entry.
pub const SHARDS: u8 = 64;

/// Identifier of a job, which determines the keys of its rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id(attempt::Id);

impl Id {
    /// Creates an identifier from 128 random bits.
    pub const fn new(bits: u128) -> Self {
        Self(attempt::Id::new(bits))
    }

    /// Returns the identifier of the job for a caller's idempotency key.
    ///
    /// A retry with the same key thus finds the job of the first request.
    pub fn of(scope: &Scope) -> Self {
        let organisation = scope.organisation.as_str().as_bytes();
        let service = scope.service.as_str().as_bytes();
        let digest = Digest::of_parts([b"job", organisation, service, scope.key.as_bytes()]);
        Self::new(digest.leading_bits())
    }

    /// Returns the number of the job's partition.
    pub const fn shard(self) -> u8 {
        (self.0.get() >> 120) as u8 % SHARDS
    }

    /// Returns the table key of the record.
    pub fn record_row(self) -> table::Key {
        table::Key::new(format_smolstr!("job/{:02x}", self.shard()), self.to_string())
    }

    /// Returns the table key of the open row.
    pub fn open_row(self) -> table::Key {
        table::Key::new(open_partition(self.shard()), self.to_string())
    }
}

/// Returns the name of the partition with a shard's open rows.
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
