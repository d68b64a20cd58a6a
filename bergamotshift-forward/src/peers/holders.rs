//! Which other entry is asked for a newer document.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::member::Members;

/// How long ago an entry may have said that it has a document. In a large fleet word of each comes every few seconds; one
/// that is gone by then refuses the connection at once, or is silent for half a second.
const HEARD: Duration = Duration::from_secs(5);

/// An entry that has a newer document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The entry.
    pub entry: name::Entry,
    /// Where it can be asked.
    pub address: SocketAddr,
}

/// Where a newer document can be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// No entry that was heard lately has one.
    Nobody,
    /// Each that has one gives it to others just now, or failed to give it.
    Busy,
    /// This one has it.
    Holder(Holder),
}

impl Members {
    /// Chooses whom to ask for a document that is newer than `version`.
    ///
    /// The newest there is comes first, then entries of the own zone, as bytes between zones are paid for. Among those each
    /// entry has an order of its own, so that not all ask the same one.
    pub fn document_source(&self, now: Instant, version: u64) -> Source {
        let newer = self
            .recent_states(now, HEARD)
            .filter(|(_, state)| state.document > version);
        let holders: Vec<_> = newer.map(|(entry, state)| (entry, state.document)).collect();
        let Some(newest) = holders.iter().map(|(_, document)| *document).max() else {
            return Source::Nobody;
        };
        let seed = xxh3_64_with_seed(self.own.as_str().as_bytes(), newest);
        let order = |entry: &name::Entry| xxh3_64_with_seed(entry.as_str().as_bytes(), seed);
        let newest = holders.into_iter().filter(|(_, document)| *document == newest);
        let peers = newest.filter_map(|(entry, _)| Some((entry, self.peers.get(entry)?)));
        let open = peers.filter(|(_, peer)| peer.spared <= now);
        let first = open.min_by_key(|(entry, peer)| (!peer.is_in(&self.zone), order(entry)));
        first.map_or(Source::Busy, |(entry, peer)| {
            Source::Holder(Holder {
                entry: entry.clone(),
                address: peer.address,
            })
        })
    }

    /// Notes that an entry did not give its document, and for how long it is not asked for it again.
    pub fn defer_download(&mut self, now: Instant, entry: &name::Entry, span: Duration) {
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.spared = now + span;
        }
    }
}
