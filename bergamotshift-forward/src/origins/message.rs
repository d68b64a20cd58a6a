//! Messages between entries about the versions of streams.

use core::net::SocketAddr;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::Key;
use super::Origins;

/// Maximum number of streams in a message.
const MAX_STREAMS: usize = 1_024;

/// Stream with the version that began it.
pub type Stream = (Key, SmolStr);

/// Message to another entry about the versions of streams.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// These versions began streams.
    Tell(Vec<Stream>),
    /// Which version began a stream?
    Ask(Key),
    /// These versions began streams; the entry that receives this has to store them.
    Store(Vec<Stream>),
}

/// Answer to a [`Message`]: the version that was asked for, if it is known.
pub type Answer = Option<SmolStr>;

impl Origins {
    /// Takes the streams that no other entry was told of, and returns the messages that tell others of them. What this entry has
    /// to store itself is stored.
    pub fn take_messages(&self, now: Instant) -> Vec<(SocketAddr, Message)> {
        let untold = self.table().take_untold(now);
        let mut told: BTreeMap<SocketAddr, Vec<Stream>> = BTreeMap::new();
        let mut stored: BTreeMap<Option<SocketAddr>, Vec<Stream>> = BTreeMap::new();
        for stream in untold {
            let writer = self.writer(stream.0).and_then(|writer| writer.address);
            for holder in self.holders(stream.0) {
                if Some(holder) != writer {
                    told.entry(holder).or_default().push(stream.clone());
                }
            }
            stored.entry(writer).or_default().push(stream);
        }
        self.store(now, stored.remove(&None).unwrap_or_default());
        let told = told
            .iter()
            .flat_map(|(address, streams)| messages(*address, streams, Message::Tell));
        let stored = stored
            .iter()
            .filter_map(|(address, streams)| Some((address.as_ref()?, streams)))
            .flat_map(|(address, streams)| messages(*address, streams, Message::Store));
        told.chain(stored).collect()
    }

    /// Handles a message of another entry.
    ///
    /// The sender alone decides who stores a stream: it and the receiver may know different entries, so that each takes another
    /// one for the writer.
    pub fn handle(&self, now: Instant, message: Message) -> Answer {
        match message {
            Message::Tell(streams) => {
                let mut table = self.table();
                for (key, version) in streams {
                    table.record(now, key, version);
                }
                None
            }
            Message::Ask(key) => self.table().get(now, key),
            Message::Store(streams) => {
                self.store(now, streams);
                None
            }
        }
    }

    /// Stores what another entry was asked to store and did not acknowledge.
    pub fn handle_unacknowledged(&self, now: Instant, message: Message) {
        if let Message::Store(streams) = message {
            self.store(now, streams);
        }
    }

    /// Stores the versions of streams.
    fn store(&self, now: Instant, streams: Vec<Stream>) {
        if streams.is_empty() {
            return;
        }
        let mut table = self.table();
        for (key, version) in streams {
            table.store(now, key, version);
        }
        self.unstored.notify_one();
    }
}

/// Returns the messages to an entry about streams.
fn messages(
    address: SocketAddr,
    streams: &[Stream],
    message: fn(Vec<Stream>) -> Message,
) -> impl Iterator<Item = (SocketAddr, Message)> {
    let chunks = streams.chunks(MAX_STREAMS);
    chunks.map(move |chunk| (address, message(chunk.to_vec())))
}
