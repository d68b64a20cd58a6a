//! The protocol's rows in the platform's table.
//!
//! | Row | Body | Written by |
//! |---|---|---|
//! | `config` / `head` | [`Head`] | proposers, each time on the version they read |
//! | `config/version` / number | [`Record`] | the accepting transaction, once |
//! | `config/stage` / zone | [`Stage`] | the zone's entries |

use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::digest::Digest;

/// The partition of accepted versions, oldest first.
pub const VERSIONS: &str = "config/version";

/// The partition of the zones' stage rows.
pub const STAGES: &str = "config/stage";

/// Identifies one operator's change; the shell draws it at random.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id(u128);

impl Id {
    /// Makes an identifier from 128 random bits.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }
}

/// Counts accepted configurations; the first is 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// Makes a version from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the version after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A version and the content it stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Revision {
    /// The version.
    pub version: Version,
    /// The digest of its manifest's listing.
    pub digest: Digest,
}

/// Content that an operator wants accepted as a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Proposal {
    /// The operator's change.
    pub id: Id,
    /// The version it would be, and its content.
    #[serde(rename = "mark")]
    pub revision: Revision,
}

/// The one row on which everything turns: what is accepted, and the one proposal that may be next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// The accepted version.
    pub accepted: Option<Revision>,
    /// The proposal that waits for the zones.
    pub proposed: Option<Proposal>,
}

impl Head {
    /// Returns the version after the accepted one.
    pub fn next(&self) -> Version {
        self.accepted
            .map_or(Version::default(), |revision| revision.version)
            .next()
    }
}

/// A head as it stood at one version of its row; peers tell each other the highest they know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct View {
    /// The row's version; 0 before the first write.
    pub row: u64,
    /// The head.
    pub head: Head,
}

impl View {
    /// Reads a view from the head's row.
    ///
    /// # Errors
    ///
    /// Fails when the body is not a head.
    pub fn read(row: Option<&Row>) -> Result<Self, serde_json::Error> {
        row.map_or(Ok(Self::default()), |row| {
            decode(row).map(|head| Self { row: row.version, head })
        })
    }

    /// Returns the condition that the row is still as seen.
    pub const fn condition(&self) -> Condition {
        condition(self.row)
    }
}

/// An accepted version, as the history keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The change that made it.
    pub id: Id,
    /// The version and its content.
    #[serde(rename = "mark")]
    pub revision: Revision,
    /// Who made the change.
    pub author: SmolStr,
    /// When, in milliseconds since 1970, by the clock of whoever carried it.
    pub at: u64,
    /// The zones that were cut off then and had not staged it.
    pub passed_over: Vec<name::Zone>,
}

/// How far a zone is with a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stage {
    /// The proposal.
    pub proposal: Proposal,
    /// How far it is.
    pub progress: Progress,
}

/// How far a zone is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// An entry of the zone knows of it and fetches it.
    Seen,
    /// An entry of the zone holds it and could switch to it.
    Staged,
    /// An entry of the zone can't use it.
    Refused(SmolStr),
}

/// Returns the key of the head.
pub fn head_key() -> Key {
    Key::new("config", "head")
}

/// Returns the key of an accepted version; the digits sort as the numbers do.
pub fn version_key(version: Version) -> Key {
    Key::new(VERSIONS, format!("{:020}", version.get()))
}

/// Returns the key of a zone's stage.
pub fn stage_key(zone: &name::Zone) -> Key {
    Key::new(STAGES, zone)
}

/// Returns the condition that a row is still at this version, where 0 stands for no row.
pub const fn condition(version: u64) -> Condition {
    match version {
        0 => Condition::Absent,
        version => Condition::Version(version),
    }
}

/// Writes a row's body. It is JSON: entries of different releases ignore what they do not know.
pub(crate) fn encode(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).expect("the protocol's rows have text keys and finite numbers")
}

/// Reads a row's body.
///
/// # Errors
///
/// Fails when the body is not what the row should hold.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, serde_json::Error> {
    serde_json::from_slice(&row.body)
}
