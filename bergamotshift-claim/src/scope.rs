//! What an idempotency key belongs to.

use bergamotshift_core::name;
use bergamotshift_core::table;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::digest::Digest;

/// The number of table partitions over which claims are spread.
pub const PARTITIONS: u8 = 64;

/// An idempotency key together with the organisation and the service it belongs to.
///
/// The same key under another organisation is another scope, so no organisation can join or replay the request of
/// another.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Scope {
    /// The organisation whose caller sent the key.
    pub organisation: name::Organisation,
    /// The service asked for.
    pub service: name::Service,
    /// The key as the caller gave it.
    pub key: SmolStr,
}

impl Scope {
    /// Makes a scope from its parts.
    pub fn new(organisation: impl AsRef<str>, service: impl AsRef<str>, key: impl AsRef<str>) -> Self {
        Self {
            organisation: name::Organisation::new(organisation),
            service: name::Service::new(service),
            key: SmolStr::new(key),
        }
    }

    /// Returns the place of this scope's claim in the table.
    ///
    /// The sort key is a digest, so a caller's key can be of any length and any text.
    pub fn row(&self) -> table::Key {
        let organisation = self.organisation.as_str().as_bytes();
        let service = self.service.as_str().as_bytes();
        let digest = Digest::of_parts([organisation, service, self.key.as_bytes()]);
        table::Key {
            partition: partition(digest.first() % PARTITIONS),
            sort: format_smolstr!("{digest}"),
        }
    }
}

/// Returns the name of the claims' partition with this number.
pub fn partition(number: u8) -> SmolStr {
    format_smolstr!("claim/{number:02x}")
}
