//! Encoding of rows: a layout number, followed by the record in postcard.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Error for a row whose body cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The layout number is unknown to this version.
    #[error("the row has layout {0}, which this version cannot read")]
    Layout(u8),
    /// The record cannot be decoded.
    #[error("the row cannot be decoded: {0}")]
    Codec(#[from] postcard::Error),
    /// The body is empty.
    #[error("the row is empty")]
    Empty,
}

/// Layout number that this version writes and reads.
const LAYOUT: u8 = 1;

/// Encodes a row's body.
///
/// # Panics
///
/// Panics if the record has no postcard encoding. Every record of this crate has one, and the buffer grows as needed.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_extend(record, vec![LAYOUT]).expect("a record encodes into a growing buffer")
}

/// Decodes a row's body.
///
/// # Errors
///
/// Returns an error if the body is empty, has an unknown layout or cannot be decoded.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    match body {
        [] => Err(Error::Empty),
        [LAYOUT, rest @ ..] => Ok(postcard::from_bytes(rest)?),
        [layout, ..] => Err(Error::Layout(*layout)),
    }
}
