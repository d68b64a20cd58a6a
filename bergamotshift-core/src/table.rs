//! Rows, conditions and writes of the platform's transactional table service, as the kernel sees them.
//!
//! The kernel turns decisions into [`Write`]s and reads [`Row`]s back; an adapter of the platform crate carries them.
//! A row is an opaque body under a version number, which is all that a compare-and-set protocol needs.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Finds a row: rows of one partition are listed together, in the order of their sort key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// The partition, such as `claim/ORGANISATION`.
    pub partition: SmolStr,
    /// The place inside the partition.
    pub sort: SmolStr,
}

impl Key {
    /// Makes a key from its two parts.
    pub fn new(partition: impl AsRef<str>, sort: impl AsRef<str>) -> Self {
        Self {
            partition: SmolStr::new(partition),
            sort: SmolStr::new(sort),
        }
    }
}

/// A row as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Counts the row's writes; the first write makes it 1.
    pub version: u64,
    /// The content, opaque to the table.
    pub body: Vec<u8>,
}

/// What must hold of a row for the whole transaction to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row exists at exactly this version.
    Version(u64),
    /// Nothing.
    Any,
}

/// What becomes of a row when the transaction takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// The row holds this body, at the version after the one in the condition.
    Put(Vec<u8>),
    /// The row is gone.
    Delete,
    /// The row stays as it is; only the condition counts.
    Check,
}

/// One row's part in a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: Key,
    /// What must hold beforehand.
    pub condition: Condition,
    /// What holds afterwards.
    pub change: Change,
}

/// How a transaction ended, as far as its sender can know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Ending {
    /// It took effect.
    Applied,
    /// It did not take effect: the conditions of the writes at these places did not hold.
    Conflict(Vec<usize>),
    /// It did not take effect and never will: the service refused it, or no byte of it left.
    Refused,
    /// Its answer was lost; it may have taken effect. Reading the rows back settles it.
    Unknown,
}
