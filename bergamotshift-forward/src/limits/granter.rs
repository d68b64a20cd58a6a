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

/// Returns the candidates that come first for a key; all entries with the same list get the same result.
pub fn top<const COUNT: usize>(key: u64, candidates: &[Candidate]) -> [Option<Candidate>; COUNT] {
    let mut first = [None; COUNT];
    for candidate in candidates {
        let rank = xxh3_64_with_seed(&candidate.hash.to_le_bytes(), key);
        let mut next = Some((rank, *candidate));
        for slot in &mut first {
            if *slot < next {
                core::mem::swap(slot, &mut next);
            }
        }
    }
    first.map(|slot| slot.map(|(_, candidate)| candidate))
}
