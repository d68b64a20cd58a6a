//! Idempotency keys, scoped to an organisation and a service.

use bergamotshift_core::name;
use bergamotshift_core::table;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::digest::Digest;

/// Number of table partitions over which claims are distributed.
pub const PARTITIONS: u8 = 64;

/// Idempotency key with the organisation and service that it belongs to.
///
/// The same key has a different scope in each organisation, so no organisation can join or replay another's request.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Scope {
    /// Organisation of the caller that sent the key.
    pub organisation: name::Organisation,
    /// Requested service.
    pub service: name::Service,
    /// Key as sent by the caller.
    pub key: SmolStr,
}

impl Scope {
    /// Creates a scope.
    pub fn new(organisation: impl AsRef<str>, service: impl AsRef<str>, key: impl AsRef<str>) -> Self {
        Self {
            organisation: name::Organisation::new(organisation),
            service: name::Service::new(service),
            key: SmolStr::new(key),
        }
    }

    /// Returns the table key of the claim's row.
    ///
    /// The sort key is a digest, so a caller's key may have any length and contain any text.
    pub fn row(&self) -> table::Key {
        let organisation = self.organisation.as_str().as_bytes();
        let service = self.service.as_str().as_bytes();
        let digest = Digest::of_parts([organisation, service, self.key.as_bytes()]);
        table::Key {
            partition: partition(digest.first_byte() % PARTITIONS),
            sort: format_smolstr!("{digest}"),
        }
    }
}

/// Returns the name of the partition of claims with this number.
pub fn partition(number: u8) -> SmolStr {
    format_smolstr!("claim/{number:02x}")
}
