//! Frames between entries: typed, bounded in size, and readable by older and newer versions.
//!
//! A frame is a version, the sender's tag, one [`Body`] and groups of news [`Item`]s, each group under its kind and
//! length. An older entry skips kinds that it does not know, so a fleet can be replaced entry by entry. Fields are
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

/// The version of the frame's outer layout.
pub const VERSION: u8 = 1;

/// Most bytes of a frame that goes as one datagram, below QUIC's smallest path.
pub const MAX_DATAGRAM: usize = 1_100;

/// Most bytes of a frame on a stream.
pub const MAX_STREAM: usize = 64 * 1_024;

/// What a frame asks or answers, besides the news it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Carries news only.
    Push,
    /// Asks for a sign of life.
    Ping {
        /// Chosen by the asker and repeated in the answer.
        sequence: u32,
        /// The life that is asked; another life at this address says so.
        target: tag::Long,
    },
    /// Gives a sign of life.
    Ack {
        /// The asker's sequence.
        sequence: u32,
        /// The life that answers.
        of: tag::Long,
    },
    /// Asks the receiver to ping a third member.
    Relay {
        /// Chosen by the asker and repeated in the answer.
        sequence: u32,
        /// The life to ping.
        target: tag::Long,
    },
    /// Says that the sender of the last frame is not known here.
    Stranger,
}

/// One message between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The sender's life.
    pub from: tag::Long,
    /// What it asks or answers.
    pub body: Body,
    /// The news it carries; unknown kinds are left out.
    pub items: Vec<Item>,
}

/// Why bytes are not a frame that this version can read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The outer layout is of another version.
    #[error("frame layout {0} is not known")]
    Version(u8),
    /// The frame is larger than any sender may make it.
    #[error("a frame of {0} bytes is too large")]
    Size(usize),
    /// The frame ends early.
    #[error("the frame ends early")]
    Short,
    /// The body is of a kind that this version does not know.
    #[error("the frame's body is not known")]
    Body,
}

impl Frame {
    /// Reads a frame and skips what this version does not know.
    ///
    /// # Errors
    ///
    /// Returns an error when the outer layout or the body cannot be read. News that cannot be read is left out.
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

    /// Writes the frame with all its items.
    pub fn encode(&self) -> Vec<u8> {
        let mut writer = Writer::new(self.from, self.body, MAX_STREAM);
        for item in &self.items {
            writer.push(item);
        }
        writer.finish()
    }
}
