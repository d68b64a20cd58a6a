//! Answers of endpoints, as they are stored for replay.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Complete answer of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers, in the order received.
    pub headers: Vec<Header>,
    /// Body, or the place where it is stored.
    pub body: Body,
}

/// Header of an answer or of a job's request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: SmolStr,
    /// Value, as raw bytes.
    pub value: Vec<u8>,
}

/// Body of an answer or of a job's request, or the place where it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Body stored with the record.
    Inline(Vec<u8>),
    /// Body in the object store.
    Object {
        /// Key of the object.
        key: SmolStr,
        /// Length of the body, in bytes.
        length: u64,
    },
    /// Body that is not available, because it was too long to store or the object store was unreachable. The request
    /// was executed.
    Dropped,
}

impl Default for Body {
    fn default() -> Self {
        Self::Inline(Vec::new())
    }
}
