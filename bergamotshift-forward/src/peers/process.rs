//! Processes of entries.

use core::fmt::Display;
use core::fmt::Formatter;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// One process of an entry. An entry that starts again has the same name and another incarnation, and knows nothing of
/// what its former process did.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Process {
    /// Name of the entry.
    pub entry: name::Entry,
    /// Random identifier of the process.
    pub incarnation: u64,
}

impl Display for Process {
    fn fmt(&self, f: &mut Formatter<'_>) -> core::fmt::Result {
        write!(f, "{}/{:016x}", self.entry.as_str(), self.incarnation)
    }
}
