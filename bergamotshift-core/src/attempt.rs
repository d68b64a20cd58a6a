//! Attempt identifiers: one for each time a request is sent towards an endpoint.

use core::fmt;
use core::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Identifies one attempt of one request, across the whole fleet.
///
/// The shell draws it at random. It goes with every call to an endpoint and is matched on the answer, so that a late
/// answer to an abandoned attempt reaches nobody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id(u128);

impl Id {
    /// Makes an identifier from 128 random bits.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The text is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("an attempt id is 32 hexadecimal digits")]
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
