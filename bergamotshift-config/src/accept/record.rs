//! Rows of the protocol in the platform's table.
//!
//! | Row | Body | Written by |
//! |---|---|---|
//! | `config` / `head` | [`Head`] | proposers, on condition that the row still has the version that they read |
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

/// Partition of the accepted versions, oldest first.
pub const VERSIONS: &str = "config/version";

/// Partition of the zones' stage rows.
pub const STAGES: &str = "config/stage";

/// Identifier of one operator's change. The caller draws it at random.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id(u128);

impl Id {
    /// Creates an identifier from 128 random bits.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }
}

/// Number of an accepted configuration, counted from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// Creates a version from its number.
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

/// Version number together with the digest of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Revision {
    /// Version number.
    pub version: Version,
    /// Digest of the listing of the version's manifest.
    pub digest: Digest,
}

/// Content that an operator proposes as the next version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Proposal {
    /// Identifier of the operator's change.
    pub id: Id,
    /// Version number and digest that the content gets once it is accepted.
    #[serde(rename = "mark")]
    pub revision: Revision,
}

/// Body of the head row: the accepted revision, and at most one proposal for the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Accepted revision, if there is one.
    pub accepted: Option<Revision>,
    /// Proposal that is being staged by the zones, if there is one.
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

/// Head together with the version of its row. Peers announce the highest view that they know to each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct View {
    /// Version of the head row; 0 before the first write.
    pub row: u64,
    /// Body of the head row.
    pub head: Head,
}

impl View {
    /// Decodes a view from the head row.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a head.
    pub fn read(row: Option<&Row>) -> Result<Self, serde_json::Error> {
        row.map_or(Ok(Self::default()), |row| {
            decode(row).map(|head| Self { row: row.version, head })
        })
    }

    /// Returns the condition that the head row still has the version of this view.
    pub const fn condition(&self) -> Condition {
        condition(self.row)
    }
}

/// Accepted version in the history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the change that created the version.
    pub id: Id,
    /// Version number and digest of the content.
    #[serde(rename = "mark")]
    pub revision: Revision,
    /// Author of the change.
    pub author: SmolStr,
    /// Time of the change in milliseconds since 1970, by the clock of the process that proposed it.
    pub at: u64,
    /// Zones that were cut off at that time and had not staged the version.
    pub passed_over: Vec<name::Zone>,
}

/// Body of a zone's stage row: the zone's progress with a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stage {
    /// Proposal that the zone is staging.
    pub proposal: Proposal,
    /// Progress of the zone.
    pub progress: Progress,
}

/// Progress of a zone with one proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// An entry of the zone knows the proposal and is fetching its content.
    Seen,
    /// An entry of the zone holds the content and is able to switch to it.
    Staged,
    /// An entry of the zone cannot use the content, for this reason.
    Refused(SmolStr),
}

/// Returns the key of the head row.
pub fn head_key() -> Key {
    Key::new("config", "head")
}

/// Returns the key of an accepted version. It is padded with zeros, so keys sort like the numbers.
pub fn version_key(version: Version) -> Key {
    Key::new(VERSIONS, format!("{:020}", version.get()))
}

/// Returns the key of a zone's stage row.
pub fn stage_key(zone: &name::Zone) -> Key {
    Key::new(STAGES, zone)
}

/// Returns the condition that a row still has this version; 0 means that the row does not exist.
pub const fn condition(version: u64) -> Condition {
    match version {
        0 => Condition::Absent,
        version => Condition::Version(version),
    }
}

/// Encodes a row's body as JSON, so that entries of different releases ignore fields that they do not know.
pub(crate) fn encode(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).expect("rows have string keys and finite numbers")
}

/// Decodes a row's body.
///
/// # Errors
///
/// Returns an error if the body is not a valid `T`.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, serde_json::Error> {
    serde_json::from_slice(&row.body)
}
