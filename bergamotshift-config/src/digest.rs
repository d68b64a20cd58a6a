//! SHA-256 digests of bearer tokens and of the content of the folder. The folder stores tokens only as digests.

use core::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use sha2::Digest as _;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// Prefix of a digest in text form.
const PREFIX: &str = "sha256:";

/// SHA-256 digest.
///
/// Bearer tokens are long and random, so a digest without salt reveals nothing about them to a reader of the folder.
///
/// ```
/// use bergamotshift_config::digest::Digest;
///
/// let digest = Digest::of("a long random token");
/// assert!(bool::from(digest.ct_eq(&Digest::of("a long random token"))));
/// assert!(digest.to_string().starts_with("sha256:"));
/// ```
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Creates a digest from its bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Computes the digest of some bytes.
    pub fn of(bytes: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(bytes.as_ref()).into())
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Compares two digests in constant time.
    pub fn ct_eq(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }

    /// Parses `sha256:` followed by 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(PREFIX)?.as_bytes();
        if digits.len() != 64 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let pair = core::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; 32]>::deserialize(deserializer).map(Self);
        }
        let text = String::deserialize(deserializer)?;
        Self::parse(&text)
            .ok_or_else(|| de::Error::custom("a digest must be `sha256:` followed by 64 hexadecimal digits"))
    }
}
