//! Questions and answers between entries about parcels, each exchanged on its own stream.

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::Key;
use super::Parcel;
use super::Receipt;
use super::Retrieval;

/// Version of the message layout.
const VERSION: u8 = 1;

/// Request from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Question {
    /// Asks the receiver to store a parcel.
    Put(Box<Parcel>),
    /// Asks for a parcel whose caller came back to the sender.
    Take {
        /// Key of the request.
        key: Key,
        /// Entry that asks.
        by: name::Entry,
    },
    /// Asks the receiver to remove a parcel whose caller has received its answer.
    Finish(Key),
    /// Asks for content by topic and key, such as a configuration file by its digest.
    Fetch {
        /// Topic that the content belongs to.
        topic: u8,
        /// Key of the content within the topic.
        key: Vec<u8>,
    },
}

/// Response to a [`Question`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The parcel is stored, or a copy with at least as much progress already was.
    Kept,
    /// The parcel would exceed the keeper's capacity.
    Full,
    /// The requested parcel.
    Parcel(Box<Parcel>),
    /// The entry that continues the request.
    Elsewhere(name::Entry),
    /// No parcel or content is stored under the key.
    Missing,
    /// The parcel was removed.
    Done,
    /// The requested content.
    Content(Vec<u8>),
    /// The receiver's version does not support this kind of question.
    Unknown,
}

/// Error of decoding a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The layout version or the kind of message is not supported, or the bytes are damaged.
    #[error("message is malformed or of an unsupported version or kind")]
    Unreadable,
}

impl Question {
    /// Encodes the question with its version.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a question.
    ///
    /// # Errors
    ///
    /// Returns an error when this version cannot read the question. The receiver then replies with [`Answer::Unknown`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode(bytes)
    }
}

impl Answer {
    /// Encodes the answer with its version.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Returns an error when this version cannot read the answer.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode(bytes)
    }
}

impl From<Receipt> for Answer {
    fn from(receipt: Receipt) -> Self {
        match receipt {
            Receipt::Kept | Receipt::Known => Self::Kept,
            Receipt::Full => Self::Full,
        }
    }
}

impl From<Retrieval> for Answer {
    fn from(taken: Retrieval) -> Self {
        match taken {
            Retrieval::Parcel(parcel) => Self::Parcel(parcel),
            Retrieval::Elsewhere(entry) => Self::Elsewhere(entry),
            Retrieval::Missing => Self::Missing,
        }
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(value, vec![VERSION]).expect("encoding into a growing buffer never fails")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let body = bytes.strip_prefix(&[VERSION]).ok_or(Error::Unreadable)?;
    postcard::from_bytes(body).or(Err(Error::Unreadable))
}
