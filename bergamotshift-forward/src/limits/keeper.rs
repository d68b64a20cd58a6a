//! Entry that decides for all entries of its availability zone in a large fleet.
//!
//! With dozens of entries, each one's share of a limit is smaller than one large request, and the requests that others
//! have in flight end before an entry learns of them. So one entry of each zone, its *keeper*, grants units of limits
//! and chooses endpoints for all entries there, which ask it once for each request. The zones divide the limits among
//! themselves as the entries of a small fleet do, so a zone that is cut off goes on with its share.
//!
//! Keepers are not elected: each entry computes them from its own view of the live entries. For a moment, two entries
//! may both consider themselves the keeper; the slack of the limits exceeds the units that both can grant in that time.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Part;
use crate::peers::InFlight;

/// Largest number of entries in a fleet without keepers.
pub const MAX_WITHOUT_KEEPER: usize = 16;

/// Fraction of its zone's share that a deputy grants while the keeper cannot be reached. Both may grant for some
/// seconds: with a quarter of a limit per zone, half of it for two and a half seconds is a third of the units per
/// second, which lies within the tenth by which a window may exceed its limit.
pub const DEPUTY_SHARE: f64 = 0.5;

/// Timeout for a keeper's answer: many times the latency within a zone. The request is not sent meanwhile.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which a keeper that did not answer is not asked.
pub const BACKOFF: Duration = Duration::from_millis(800);

/// Units of an organisation's limit that a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Units {
    /// The organisation.
    pub organisation: name::Organisation,
    /// Number of units.
    pub count: u64,
    /// Units that the entry admitted from its own share and has not reported to a keeper yet.
    #[serde(rename = "before")]
    pub unreported: u64,
}

/// Generation that needs an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Generation {
    /// The service.
    pub service: name::Service,
    /// Number of tokens of its prompt.
    pub prompt: u32,
    /// Parts of its prompt.
    pub parts: Vec<Part>,
    /// Whether it belongs to the share of requests that a new version gets.
    pub is_canary: bool,
    /// Hashes of the endpoints to which the asking entry sends nothing.
    pub avoided: Vec<u64>,
}

/// Question of an entry to its zone's keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Question {
    /// The asking entry.
    pub entry: name::Entry,
    /// Whether the deputy is asked, since the keeper did not answer.
    pub deputy: bool,
    /// Units that a request needs; `None` without a limit.
    pub units: Option<Units>,
    /// Generation that needs an endpoint, if any.
    pub generation: Option<Generation>,
    /// All requests that the entry has in flight.
    #[serde(rename = "flown")]
    pub in_flight: Vec<InFlight>,
}

/// Endpoint that a keeper chose.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Placement {
    /// Hash of the endpoint.
    pub endpoint: u64,
    /// Prompt tokens that it is expected to prefill.
    pub unread: u64,
    /// Address of another endpoint, from which it fetches cached parts of the prompt that it does not hold.
    pub source: Option<SocketAddr>,
    /// Expected time to the first event, in milliseconds.
    pub cost: f64,
    /// Whether the endpoint has a rate limit and the request was granted.
    pub is_granted: bool,
}

/// Answer of a keeper.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Time until units are available, in milliseconds; `None` when they are granted.
    pub retry_after_ms: Option<u64>,
    /// Endpoint that was chosen, if any.
    pub placement: Option<Placement>,
}

/// Keeper of an entry's zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Keeper {
    /// No keeper: the fleet is small, and each entry decides for itself.
    #[default]
    Nobody,
    /// This entry.
    Own,
    /// The entry at this address.
    Other(SocketAddr),
    /// The keeper is not known yet.
    Unknown,
}

/// Keeper of an entry's zone, and its deputy, which decides while the keeper cannot be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Keepers {
    /// The keeper.
    pub keeper: Keeper,
    /// Address of the deputy; `None` if there is none or this entry is the deputy.
    pub deputy: Option<SocketAddr>,
    /// Whether this entry is the deputy.
    pub is_deputy: bool,
}

/// Entry that may become the keeper of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the entry.
    pub entry: &'a name::Entry,
    /// Fraction of a processor core that it may use, in thousandths.
    pub core_share: u16,
}

/// Returns whether a candidate comes before another one, by the fraction of a core that it may use and then by hash; all
/// entries order the same candidates in the same way.
pub fn precedes(one: Candidate<'_>, other: Candidate<'_>) -> bool {
    position(one) > position(other)
}

fn position(candidate: Candidate<'_>) -> (u16, u64) {
    (candidate.core_share, xxh3_64(candidate.entry.as_str().as_bytes()))
}

/// Returns the two candidates that come first.
pub fn top_two<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> [Option<&'a name::Entry>; 2] {
    let mut ranked: Vec<_> = candidates.map(|one| (position(one), one.entry)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let mut entries = ranked.into_iter().map(|(_, entry)| entry);
    [entries.next(), entries.next()]
}
