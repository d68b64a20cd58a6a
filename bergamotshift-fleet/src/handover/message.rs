//! Questions and answers between entries about parcels, each on a stream of its own.

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::Key;
use super::Parcel;
use super::Receipt;
use super::Retrieval;

/// The version of the layout.
const VERSION: u8 = 1;

/// What one entry asks another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Question {
    /// Keeps a parcel.
    Put(Box<Parcel>),
    /// Gives a parcel to the asker, whose caller came back for it.
    Take {
        /// The request.
        key: Key,
        /// The asker.
        by: name::Entry,
    },
    /// Forgets a parcel whose caller has its answer.
    Finish(Key),
    /// Asks for content by topic and key, such as a configuration file by its digest.
    Fetch {
        /// What it belongs to.
        topic: u8,
        /// Which content.
        key: Vec<u8>,
    },
}

/// What the other entry says.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The parcel is kept, here or already.
    Kept,
    /// There is no room for the parcel.
    Full,
    /// The parcel.
    Parcel(Box<Parcel>),
    /// Another entry goes on with the request.
    Elsewhere(name::Entry),
    /// Nothing is known.
    Missing,
    /// Done.
    Done,
    /// The content.
    Content(Vec<u8>),
    /// The question is of a kind that this version does not know.
    Unknown,
}

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The layout is of another version, or the bytes are damaged, or the kind is not known.
    #[error("the message cannot be read")]
    Unreadable,
}

impl Question {
    /// Writes the question.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads a question.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no question that this version knows; [`Answer::Unknown`] answers that.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode(bytes)
    }
}

impl Answer {
    /// Writes the answer.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads an answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no answer that this version knows.
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
    postcard::to_extend(value, vec![VERSION]).expect("a growing buffer takes every plain value")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let body = bytes.strip_prefix(&[VERSION]).ok_or(Error::Unreadable)?;
    postcard::from_bytes(body).or(Err(Error::Unreadable))
}
