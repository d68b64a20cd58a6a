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
use bergamotshift_limit::precedence::Kind;
use bergamotshift_route::speed;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::shortage::Judgement;
use super::shortage::Terms;
use super::tail;
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
#[derive(Clone, Debug, PartialEq)]
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
    /// Fields that readers of the previous version ignore.
    #[serde(default, deserialize_with = "tail::read", skip_serializing_if = "tail::is_default")]
    pub context: Context,
}

/// Further fields of a question, at the end of its frame.
///
/// New fields are added at the end, each read by [`tail::read`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Context {
    /// Measurements of first events since the entry's last question, the newest ones.
    #[serde(deserialize_with = "tail::read")]
    pub samples: Vec<Sample>,
    /// Terms of the generation's admission in a shortage; `None` where the rules for one do not apply.
    #[serde(deserialize_with = "tail::read")]
    pub terms: Option<Terms>,
    /// Whether the units are for a stream that its caller takes up.
    #[serde(deserialize_with = "tail::read")]
    pub is_resumed: bool,
}

impl Context {
    /// Returns the kind of the request that needs the units.
    pub const fn kind(&self) -> Kind {
        if self.is_resumed { Kind::Resumed } else { Kind::New }
    }
}

/// Measurement of one first event.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// Hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// Prompt tokens that had to be read before it.
    pub tokens: u64,
    /// Time from sending the request to the event, in milliseconds; 0 if only the pace counts.
    pub elapsed_ms: u32,
    /// Pace that the answer stated, in percent of the usual time.
    pub pace: Option<f64>,
    /// Time since the event, in milliseconds.
    pub age_ms: u32,
}

impl Sample {
    /// Creates a sample of an endpoint, made now.
    pub fn new(endpoint: u64, sample: &speed::Sample) -> Self {
        Self {
            endpoint,
            tokens: sample.tokens,
            elapsed_ms: u32::try_from(sample.elapsed.as_millis()).unwrap_or(u32::MAX),
            pace: sample.pace,
            age_ms: 0,
        }
    }

    /// Returns its age; `None` if it is too old to be used.
    pub fn age(&self) -> Option<Duration> {
        Some(Duration::from_millis(self.age_ms.into())).filter(|age| *age <= MAX_SAMPLE_AGE)
    }

    /// Returns what was measured.
    pub fn measured(&self) -> speed::Sample {
        speed::Sample {
            tokens: self.tokens,
            elapsed: Duration::from_millis(self.elapsed_ms.into()),
            pace: self.pace,
        }
    }
}

/// Maximum number of samples in a question.
pub const MAX_SAMPLES: usize = 32;

/// Age from which on a sample is ignored.
pub const MAX_SAMPLE_AGE: Duration = Duration::from_secs(5);

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
    /// Estimate for it, if speeds are learned for the service. It is sent in [`Detail`], since readers of the previous
    /// version expect no further fields here.
    #[serde(skip)]
    pub estimate: Option<Estimate>,
}

/// Estimate for an endpoint that a keeper chose.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Estimate {
    /// Expected time for the work ahead of the request, in milliseconds.
    pub wait_ms: u32,
    /// Expected time for the request's own tokens and to the first event beside reading, in milliseconds.
    pub read_ms: u32,
    /// Prompt tokens of other requests that the endpoint has to read first.
    pub ahead: u64,
    /// Number of other requests in flight there.
    pub running: u32,
}

/// Answer of a keeper.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Time until units are available, in milliseconds; `None` when they are granted.
    pub retry_after_ms: Option<u64>,
    /// Endpoint that was chosen, if any.
    pub placement: Option<Placement>,
    /// Fields that readers of the previous version ignore.
    #[serde(default, deserialize_with = "tail::read", skip_serializing_if = "tail::is_default")]
    pub detail: Detail,
}

/// Further fields of an answer, at the end of its frame.
///
/// New fields are added at the end, each read by [`tail::read`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Detail {
    /// Estimate for the placement.
    #[serde(deserialize_with = "tail::read")]
    pub estimate: Option<Estimate>,
    /// Judgement on the generation by the rules for a shortage; `None` where they do not apply, and if no endpoint
    /// accepts it.
    #[serde(deserialize_with = "tail::read")]
    pub judgement: Option<Judgement>,
}

impl Answer {
    /// Creates the answer to a question whose units are granted.
    pub fn granted(placement: Option<Placement>) -> Self {
        Self {
            retry_after_ms: None,
            placement,
            detail: Detail {
                estimate: placement.and_then(|placement| placement.estimate),
                ..Detail::default()
            },
        }
    }

    /// Returns the placement with the estimate for it.
    pub fn placement(&self) -> Option<Placement> {
        let estimate = self.detail.estimate;
        self.placement.map(|placement| Placement { estimate, ..placement })
    }
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
