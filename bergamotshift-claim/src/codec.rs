//! How rows are encoded: a layout number, then postcard.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A row's body is not what it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The layout number is one that this version does not know.
    #[error("the row has layout {0}, which this version does not read")]
    Layout(u8),
    /// The body does not decode.
    #[error("the row does not decode: {0}")]
    Codec(#[from] postcard::Error),
    /// The body is empty.
    #[error("the row is empty")]
    Empty,
}

/// The layout that this version writes.
const LAYOUT: u8 = 1;

/// Encodes a row's body.
///
/// # Panics
///
/// Never for the records of this crate: every part of them has an encoding and the buffer grows as needed.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_extend(record, vec![LAYOUT]).expect("a record encodes into a growing buffer")
}

/// Decodes a row's body.
///
/// # Errors
///
/// Returns [`Error`] when the body is empty, has an unknown layout or does not decode.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    match body {
        [] => Err(Error::Empty),
        [LAYOUT, rest @ ..] => Ok(postcard::from_bytes(rest)?),
        [layout, ..] => Err(Error::Layout(*layout)),
    }
}
