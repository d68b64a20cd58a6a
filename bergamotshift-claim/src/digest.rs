//! SHA-256 digests of requests, which detect that an idempotency key is reused for a different request.

use core::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// SHA-256 digest of a request, or of the parts of a key.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a request from its method, path with query, and body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self::of_parts([method.as_bytes(), path.as_bytes(), body])
    }

    /// Computes the digest of several parts; the same bytes split differently have different digests.
    pub(crate) fn of_parts<const N: usize>(parts: [&[u8]; N]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            // The length prefix distinguishes ("ab", "c") from ("a", "bc").
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Returns the first 128 bits.
    pub(crate) fn leading_bits(self) -> u128 {
        let leading = self.0.first_chunk().expect("a digest has 32 bytes");
        u128::from_be_bytes(*leading)
    }

    /// Returns the first byte, which is uniformly distributed.
    pub(crate) const fn first_byte(self) -> u8 {
        self.0[0]
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}
