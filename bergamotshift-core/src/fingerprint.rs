//! Content fingerprints, which identify requests that a caller sends again.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// 128-bit hash of the content of a request, equal each time a caller sends the same request.
///
/// It is not cryptographically secure: idempotency compares SHA-256 digests instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Creates a fingerprint from its bits.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits of the fingerprint.
    pub const fn get(self) -> u128 {
        self.0
    }

    /// Computes the fingerprint of a request from its service, method, path and body.
    pub fn of(service: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            // The length distinguishes ("ab", "c") from ("a", "bc").
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }

    /// Returns the fingerprint of the same request at endpoints of one version, which is given as a digest.
    #[must_use]
    pub fn at_version(self, version: u64) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(&version.to_le_bytes());
        Self(hasher.digest128())
    }

    /// Computes the fingerprint of a part of prompts at a service, by the identifier of its content.
    pub fn of_part(service: &str, id: u64) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(service.as_bytes());
        hasher.update(&id.to_le_bytes());
        Self(hasher.digest128())
    }
}
