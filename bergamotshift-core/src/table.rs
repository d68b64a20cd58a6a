//! Rows, conditions and writes of the platform's transactional table service, as used by the kernel.
//!
//! The kernel turns decisions into [`Write`]s and reads [`Row`]s; an adapter in the platform crate executes them. A row
//! is an opaque body with a version number, which is all that a compare-and-set protocol needs.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Key of a row. Rows of one partition are listed together, in the order of their sort keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Partition, such as `claim/ORGANISATION`.
    pub partition: SmolStr,
    /// Sort key within the partition.
    pub sort: SmolStr,
}

impl Key {
    /// Creates a key from its two parts.
    pub fn new(partition: impl AsRef<str>, sort: impl AsRef<str>) -> Self {
        Self {
            partition: SmolStr::new(partition),
            sort: SmolStr::new(sort),
        }
    }
}

/// Row as read from the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Version number, which differs with each write.
    pub version: u64,
    /// Content, opaque to the table.
    pub body: Vec<u8>,
}

/// Condition on a row without which the whole transaction has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row exists at exactly this version.
    Version(u64),
    /// No condition.
    Any,
}

/// Change of a row when the transaction takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// Stores this body with the next version number.
    Put(Vec<u8>),
    /// Deletes the row.
    Delete,
    /// Leaves the row unchanged and only checks the condition.
    Check,
}

/// Write to one row as part of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Key,
    /// Condition that has to hold before the write.
    pub condition: Condition,
    /// Change of the row.
    pub change: Change,
}

/// Result of a transaction, as far as its sender can know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Ending {
    /// The transaction took effect.
    Applied,
    /// The transaction had no effect: the conditions of the writes with these indices did not hold.
    Conflict(Vec<usize>),
    /// The transaction has no effect and never will: the service refused it, or no byte of it was sent.
    Refused,
    /// The answer was lost; the transaction may have taken effect. Reading the rows shows whether it did.
    Unknown,
}
