//! Choice of the entry from which a newer document is downloaded.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::member::Members;

/// Maximum age of the state in which an entry announced its document. In a large fleet each entry's state arrives every
/// few seconds. An entry that has ended meanwhile refuses the connection at once, or does not respond for half a
/// second.
const MAX_STATE_AGE: Duration = Duration::from_secs(5);

/// An entry that has a newer document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The entry.
    pub entry: name::Entry,
    /// The address at which other entries reach it.
    pub address: SocketAddr,
}

/// The source of a newer document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// No entry has announced one recently.
    Nobody,
    /// Every entry that has one is at its limit of uploads, or failed to deliver it.
    Busy,
    /// An entry that has one and can be asked.
    Holder(Holder),
}

impl Members {
    /// Chooses the entry to ask for a document that is newer than `version`.
    ///
    /// Entries with the newest version come first, and among them those of this entry's zone, because traffic between
    /// zones costs money. The rest of the order is a hash that differs for each asking entry, so that not all ask the
    /// same one.
    pub fn document_source(&self, now: Instant, version: u64) -> Source {
        let newer = self
            .recent_states(now, MAX_STATE_AGE)
            .filter(|(_, state)| state.document > version);
        let holders: Vec<_> = newer.map(|(entry, state)| (entry, state.document)).collect();
        let Some(newest) = holders.iter().map(|(_, document)| *document).max() else {
            return Source::Nobody;
        };
        let seed = xxh3_64_with_seed(self.own.as_str().as_bytes(), newest);
        let order = |entry: &name::Entry| xxh3_64_with_seed(entry.as_str().as_bytes(), seed);
        let newest = holders.into_iter().filter(|(_, document)| *document == newest);
        let peers = newest.filter_map(|(entry, _)| Some((entry, self.peers.get(entry)?)));
        let available = peers.filter(|(_, peer)| peer.download_deferred_until <= now);
        let first = available.min_by_key(|(entry, peer)| (!peer.is_in(&self.zone), order(entry)));
        first.map_or(Source::Busy, |(entry, peer)| {
            Source::Holder(Holder {
                entry: entry.clone(),
                address: peer.address,
            })
        })
    }

    /// Records that an entry did not deliver its document, and does not ask it again for `span`.
    pub fn defer_download(&mut self, now: Instant, entry: &name::Entry, span: Duration) {
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.download_deferred_until = now + span;
        }
    }
}
