//! An endpoint's answer as it is kept for replay.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A whole answer of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers, in order.
    pub headers: Vec<Header>,
    /// The body or where it is kept.
    pub body: Body,
}

/// One header of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: SmolStr,
    /// The value's bytes.
    pub value: Vec<u8>,
}

/// Where an answer's body is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Here.
    Inline(Vec<u8>),
    /// In the object store, under this key.
    Object {
        /// The object's key.
        key: SmolStr,
        /// The body's length in bytes.
        length: u64,
    },
    /// Nowhere: it was too long to keep, or the object store was unreachable. The request did run.
    Dropped,
}

impl Default for Body {
    fn default() -> Self {
        Self::Inline(Vec::new())
    }
}
