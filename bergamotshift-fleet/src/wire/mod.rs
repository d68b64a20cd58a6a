//! Frames between entries: typed, bounded in size, and readable by older and newer versions.
//!
//! A frame is a version, the sender's tag, one [`Body`] and groups of gossip [`Item`]s, each group preceded by its kind
//! and length. An older entry skips kinds that it does not know, so a fleet can be upgraded entry by entry. Fields are
//! never added to a kind; a changed kind gets a new number.

mod item;
mod writer;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::tag;
pub use item::Digest;
pub use item::Item;
pub use item::Key;
pub use writer::Writer;

/// Version of the frame's outer layout.
pub const VERSION: u8 = 1;

/// Maximum size of a datagram frame in bytes, below the smallest path MTU that QUIC allows.
pub const MAX_DATAGRAM: usize = 1_100;

/// Maximum size of a stream frame in bytes.
pub const MAX_STREAM: usize = 64 * 1_024;

/// Request or response of a frame, apart from the items that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Carries items only.
    Push,
    /// Asks the receiver for a [`Body::Ack`].
    Ping {
        /// Number chosen by the sender and repeated in the answer.
        sequence: u32,
        /// Incarnation that is probed. Another incarnation at the address answers with its own record, and
        /// [`tag::Long::UNKNOWN`] asks for the receiver's whole state.
        target: tag::Long,
    },
    /// Answers a [`Body::Ping`].
    Ack {
        /// Sequence of the ping.
        sequence: u32,
        /// Incarnation that answers.
        of: tag::Long,
    },
    /// Asks the receiver to ping a third member.
    Relay {
        /// Number chosen by the sender and repeated in the answer.
        sequence: u32,
        /// Incarnation to ping.
        target: tag::Long,
    },
    /// Tells the receiver that its tag is unknown to the sender, so that it sends its record.
    #[serde(rename = "Stranger")]
    UnknownSender,
}

/// Message between two entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Tag of the sender's incarnation.
    pub from: tag::Long,
    /// Request or response.
    pub body: Body,
    /// Items that the frame carries; unknown kinds are left out.
    pub items: Vec<Item>,
}

/// Error of decoding a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The outer layout has an unsupported version.
    #[error("unsupported frame layout version {0}")]
    Version(u8),
    /// The frame exceeds [`MAX_STREAM`].
    #[error("frame of {0} bytes exceeds the maximum size")]
    Size(usize),
    /// The frame is truncated.
    #[error("truncated frame")]
    Short,
    /// The body is malformed or of an unsupported kind.
    #[error("malformed or unsupported frame body")]
    Body,
}

impl Frame {
    /// Decodes a frame and skips items that this version does not support.
    ///
    /// # Errors
    ///
    /// Returns an error when the outer layout or the body cannot be decoded. Malformed items are left out.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_STREAM {
            return Err(Error::Size(bytes.len()));
        }
        let (&version, rest) = bytes.split_first().ok_or(Error::Short)?;
        if version != VERSION {
            return Err(Error::Version(version));
        }
        let (from, rest): (tag::Long, _) = postcard::take_from_bytes(rest).or(Err(Error::Short))?;
        let (&length, rest) = rest.split_first().ok_or(Error::Short)?;
        let (body, mut rest) = rest.split_at_checked(usize::from(length)).ok_or(Error::Short)?;
        let body = postcard::from_bytes(body).or(Err(Error::Body))?;
        let mut items = Vec::new();
        while let Some((&kind, tail)) = rest.split_first() {
            let (length, tail): (u32, _) = postcard::take_from_bytes(tail).or(Err(Error::Short))?;
            let (group, tail) = tail.split_at_checked(length as usize).ok_or(Error::Short)?;
            Item::decode_group(kind, group, &mut items);
            rest = tail;
        }
        Ok(Self { from, body, items })
    }

    /// Encodes the frame with as many of its items as fit in [`MAX_STREAM`] bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut writer = Writer::new(self.from, self.body, MAX_STREAM);
        for item in &self.items {
            writer.push(item);
        }
        writer.finish()
    }
}
