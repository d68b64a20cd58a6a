//! Identifiers of attempts; each sending of a request to an endpoint is one attempt.

use core::fmt;
use core::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Identifier of one attempt of one request, unique across the fleet.
///
/// The I/O layer draws it at random. It is sent with every call to an endpoint and compared with the one in
/// the answer, so that a late answer to an abandoned attempt is not delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id(u128);

impl Id {
    /// Creates an identifier from 128 random bits.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits of the identifier.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Error of parsing a text that is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("an attempt ID must be 32 hexadecimal digits")]
pub struct ParseError;

impl FromStr for Id {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const DIGITS: usize = 32;
        let hexadecimal = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !hexadecimal {
            return Err(ParseError);
        }
        u128::from_str_radix(text, 16).map(Self).or(Err(ParseError))
    }
}
