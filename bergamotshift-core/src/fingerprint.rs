//! Content fingerprints, by which a request's re-sends are recognised.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// A 128-bit hash of what a request asks for, equal for a caller's re-sends.
///
/// It is not a security boundary: idempotency compares SHA-256 digests instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Makes a fingerprint from its bits.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits.
    pub const fn get(self) -> u128 {
        self.0
    }

    /// Computes the fingerprint of a request from its service, method, path and body.
    pub fn of(service: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            // Lengths keep ("ab", "c") and ("a", "bc") apart.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}
