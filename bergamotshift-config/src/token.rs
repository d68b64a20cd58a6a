//! Bearer tokens of organisations, of which the folder holds only digests.

use core::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de;
use sha2::Digest as _;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// Starts the text of every digest.
const PREFIX: &str = "sha256:";

/// The SHA-256 digest of a bearer token.
///
/// Tokens are long and random, so a digest without salt gives nothing away to whoever reads the folder.
///
/// ```
/// use bergamotshift_config::token::Digest;
///
/// let digest = Digest::of("a long random token");
/// assert!(bool::from(digest.same(&Digest::of("a long random token"))));
/// assert!(digest.to_string().starts_with("sha256:"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Compares two digests in constant time.
    pub fn same(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }

    /// Reads `sha256:` followed by 64 hexadecimal digits.
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

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| de::Error::custom("a key is `sha256:` and 64 hexadecimal digits"))
    }
}
