//! Which entry grants requests to an endpoint that names a rate.
//!
//! Each entry works out by itself who that is, from the entries that it hears: the first by rendezvous hash for each
//! endpoint, and the second while that one is not reached. For a moment two entries may both take themselves for the
//! first, so what one of them grants at once stays small.

use core::net::SocketAddr;
use core::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long an entry may take to grant a request or to refuse it.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// How long an endpoint is left alone while it is not known who grants requests to it.
pub const UNKNOWN_BACKOFF: Duration = Duration::from_millis(100);

/// How long an entry that did not answer is left alone, and an endpoint that nobody grants requests to.
pub const BACKOFF: Duration = Duration::from_millis(800);

/// An entry that may grant requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// A hash of its name.
    pub hash: u64,
    /// Where it is asked; `None` for this entry itself.
    pub address: Option<SocketAddr>,
}

/// Returns the two candidates that come first for an endpoint, on which all entries with the same list agree.
pub fn top_two(endpoint: u64, candidates: &[Candidate]) -> [Option<Candidate>; 2] {
    let rank = |candidate: &Candidate| xxh3_64_with_seed(&candidate.hash.to_le_bytes(), endpoint);
    let first = candidates.iter().max_by_key(|candidate| rank(candidate)).copied();
    let others = candidates.iter().filter(|candidate| Some(**candidate) != first);
    let second = others.max_by_key(|candidate| rank(candidate)).copied();
    [first, second]
}
