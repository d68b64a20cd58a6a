//! In a large fleet, the entry that decides for all entries of its availability zone.
//!
//! With dozens of entries, each one's share of a limit is smaller than one large request, and what each hears of the
//! others' work under way is over before it is heard. So one entry of each zone, its *keeper*, grants units of limits and
//! chooses endpoints for all entries there, which ask it once for each request. The zones share the limits out among them
//! as the entries of a small fleet do, so a zone that is cut off goes on with its share.
//!
//! Nobody elects a keeper: each entry works out from whom it hears who that is. For a moment two entries may both take
//! themselves for the keeper; the limits' slack is more than what both can grant in that time.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Part;
use crate::peers::InFlight;

/// The most entries that do without keepers.
pub const MAX_WITHOUT_KEEPER: usize = 16;

/// The part of its zone's share that a deputy grants while the keeper is not reached. Both may grant for some seconds;
/// with a quarter of a limit to a zone, half of it for two and a half seconds is a third of a second's rate, which lies
/// within the tenth that a window may exceed its limit.
pub const DEPUTY_SHARE: f64 = 0.5;

/// How long a keeper may take to answer: many ways within a zone. Nothing is sent meanwhile.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// How long a keeper that did not answer is left alone.
pub const BACKOFF: Duration = Duration::from_millis(800);

/// Units of an organisation's limit that a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Units {
    /// The organisation.
    pub organisation: name::Organisation,
    /// How many.
    pub count: u64,
    /// Units that the entry let in by its own share, and of which it told no keeper yet.
    #[serde(rename = "before")]
    pub unreported: u64,
}

/// A generation that needs an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Generation {
    /// The service.
    pub service: name::Service,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// The parts of its prompt.
    pub parts: Vec<Part>,
    /// Whether it belongs to the share of a new version.
    pub is_canary: bool,
    /// Endpoints that the asking entry sends nothing to, by their hashes.
    pub avoided: Vec<u64>,
}

/// What an entry asks its zone's keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Question {
    /// Who asks.
    pub entry: name::Entry,
    /// Whether it asks the deputy, since the keeper did not answer.
    pub deputy: bool,
    /// The units that a request needs; `None` without a limit.
    pub units: Option<Units>,
    /// The generation that needs an endpoint.
    pub generation: Option<Generation>,
    /// All work that the entry has under way.
    #[serde(rename = "flown")]
    pub in_flight: Vec<InFlight>,
}

/// An endpoint that a keeper chose.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Placement {
    /// The endpoint, by its hash.
    pub endpoint: u64,
    /// Prompt tokens that it is expected to read.
    pub unread: u64,
    /// Another endpoint, from which it gets parts of the prompt that it does not hold.
    pub source: Option<SocketAddr>,
    /// The expected time to the first event, in milliseconds.
    pub cost: f64,
    /// Whether the endpoint names a rate and the request was granted.
    pub is_granted: bool,
}

/// A keeper's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// How long until there is room, in milliseconds; `None` when the units are granted.
    pub retry_after_ms: Option<u64>,
    /// The endpoint that was chosen.
    pub placement: Option<Placement>,
}

/// Who decides for an entry's zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Keeper {
    /// Nobody: the fleet is small, and each entry decides for itself.
    #[default]
    Nobody,
    /// This entry.
    Own,
    /// The entry at this address.
    Other(SocketAddr),
    /// It is not known yet who.
    Unknown,
}

/// Who decides for an entry's zone, and who does while that one is not reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Keepers {
    /// The keeper.
    pub keeper: Keeper,
    /// The deputy; this entry itself has no address here.
    pub deputy: Option<SocketAddr>,
    /// Whether this entry is the deputy.
    pub is_deputy: bool,
}

/// An entry that may keep its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub entry: &'a name::Entry,
    /// The part of a core that it may use, in thousandths.
    pub core_share: u16,
}

/// Returns the two candidates that come first, on which all entries with the same list agree: of those that may use most
/// of a core, by hash.
pub fn top_two<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> [Option<&'a name::Entry>; 2] {
    let mut ranked: Vec<_> = candidates
        .map(|one| ((one.core_share, xxh3_64(one.entry.as_str().as_bytes())), one.entry))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let mut entries = ranked.into_iter().map(|(_, entry)| entry);
    [entries.next(), entries.next()]
}
