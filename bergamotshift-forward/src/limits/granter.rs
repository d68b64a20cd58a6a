//! Selection of the entry that grants requests to an endpoint with a rate limit. Each entry computes it by itself from
//! its own view of the live entries: the first one by rendezvous hash for each endpoint, or the second one while the
//! first does not answer. For a moment, two entries may both consider themselves first, so the number of requests that
//! one of them grants at once stays small.

use core::net::SocketAddr;
use core::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Timeout for the answer of an entry that grants or refuses a request.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which an endpoint gets no requests while it is unknown which entry grants them.
pub const UNKNOWN_BACKOFF: Duration = Duration::from_millis(100);

/// Time for which an entry that did not answer is not asked, and for which an endpoint gets no requests when no entry
/// grants them.
pub const BACKOFF: Duration = Duration::from_millis(800);

/// Entry that may grant requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Hash of its name.
    pub hash: u64,
    /// Address at which it is asked; `None` for this entry itself.
    pub address: Option<SocketAddr>,
}

/// Returns the two candidates that come first for an endpoint; all entries with the same list get the same result.
pub fn top_two(endpoint: u64, candidates: &[Candidate]) -> [Option<Candidate>; 2] {
    let rank = |candidate: &Candidate| xxh3_64_with_seed(&candidate.hash.to_le_bytes(), endpoint);
    let first = candidates.iter().max_by_key(|candidate| rank(candidate)).copied();
    let others = candidates.iter().filter(|candidate| Some(**candidate) != first);
    let second = others.max_by_key(|candidate| rank(candidate)).copied();
    [first, second]
}
