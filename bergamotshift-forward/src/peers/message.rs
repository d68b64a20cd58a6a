//! The messages between entries, and between an entry's threads.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_claim::lease;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine::Suspicion;
use bergamotshift_limit::throttle::RateLimit;
use bergamotshift_rollout as rollout;
use serde::Deserialize;
use serde::Serialize;

use crate::choice::CachedPart;
use crate::duty::Windows;
use crate::endpoint::Endpoint;
use crate::endpoint::Registration;

/// What a request tells the control thread.
#[derive(Clone, Copy, Debug)]
pub enum Note {
    /// A connection broke while an endpoint had a request.
    ConnectionLost {
        /// The endpoint, by its hash.
        endpoint: u64,
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// An entry as another one knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The entry.
    pub entry: name::Entry,
    /// Where it can be asked.
    pub address: SocketAddr,
    /// The place of its availability zone in [`State::zones`].
    pub zone: u8,
    /// The part of a core that it may use, in thousandths.
    pub core_share: u16,
    /// How long ago it was heard, by whomever, in milliseconds.
    pub age_ms: u16,
    /// Whether it is about to end.
    pub stops: bool,
}

/// What one entry's callers of an organisation ask for, and the share of the limit that it uses; in a large fleet, a
/// zone's callers and share, told by the entry that keeps the zone.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitUsage {
    /// The organisation.
    pub organisation: name::Organisation,
    /// Units per second.
    pub demand: f64,
    /// The share of the limit, between 0 and 1.
    pub share: f64,
}

/// One entry's work under way at an endpoint; told by the entry that keeps a zone, that of the whole zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlight {
    /// The endpoint, by its hash.
    pub endpoint: u64,
    /// Requests under way.
    pub running: u32,
    /// Prompt tokens that are still to be read.
    pub unread: u64,
}

impl InFlight {
    /// Makes one of nothing under way.
    pub const fn none(endpoint: u64) -> Self {
        Self {
            endpoint,
            running: 0,
            unread: 0,
        }
    }
}

/// The rate that an endpoint names for itself, as entries tell each other of it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Rate {
    /// The endpoint, by its hash.
    pub endpoint: u64,
    /// Requests per second from all entries together; `None` when it names none any more.
    pub rate: Option<f64>,
    /// How long ago that was known, in milliseconds.
    pub age_ms: u32,
}

impl Rate {
    /// Makes one of what is known of an endpoint.
    pub fn of(endpoint: &Endpoint, now: Instant) -> Self {
        Self::new(endpoint, endpoint.signals.throttle.limit(), now)
    }

    /// Makes one of a word of an endpoint.
    pub fn new(endpoint: &Endpoint, word: RateLimit, now: Instant) -> Self {
        Self {
            endpoint: endpoint.hash,
            rate: word.rate,
            age_ms: u32::try_from(now.since(word.at).as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns it as a word at the time at which it is heard.
    pub fn received_at(&self, now: Instant) -> RateLimit {
        RateLimit {
            rate: self.rate,
            at: now - Duration::from_millis(self.age_ms.into()),
        }
    }
}

/// Up to which change of the store something is known, and how long ago that was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Freshness {
    /// The change.
    pub cursor: u64,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
}

/// What an entry is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// It serves callers.
    #[default]
    Serves,
    /// It serves callers and keeps its zone: [`State::limit_usage`] and [`State::in_flight`] are those of all entries there.
    Keeps,
    /// It is about to end.
    Stops,
}

/// An operator's order to roll a version out, as entries tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rollout {
    /// The order.
    pub order: rollout::Order,
    /// How long ago it was given, in milliseconds.
    pub age_ms: u32,
    /// What the holder of the duties directs.
    pub directive: Option<rollout::Directive>,
}

/// What an entry tells another one; about a kilobyte with 16 endpoints and 5 organisations.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// Who says it.
    pub entry: name::Entry,
    /// Which life of its process, drawn at random; counts start anew with each.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Where it can be asked.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The part of a core that it may use, in thousandths.
    pub core_share: u16,
    /// What it is about.
    pub stage: Stage,
    /// Whether it holds the duties.
    #[serde(rename = "holds")]
    pub holds_duties: bool,
    /// What it tells of the duties' lease, when it holds that or gave it up.
    pub lease: Option<lease::Word>,
    /// Which other entry holds the duties, as far as it knows, and how many milliseconds ago that one said so.
    pub holder: Option<(name::Entry, u32)>,
    /// Whether the store answered its last calls.
    pub reaches_store: bool,
    /// The version of the document that it has; 0 without one.
    pub document: u64,
    /// How fresh that is.
    #[serde(rename = "document_known")]
    pub document_freshness: Option<Freshness>,
    /// A digest of the endpoints that it knows and of those among them that leave.
    pub endpoints: u64,
    /// How fresh that is.
    #[serde(rename = "endpoints_known")]
    pub endpoints_freshness: Option<Freshness>,
    /// What its callers ask for.
    #[serde(rename = "uses")]
    pub limit_usage: Vec<LimitUsage>,
    /// Its work under way.
    #[serde(rename = "flown")]
    pub in_flight: Vec<InFlight>,
    /// Prompt tokens a second that its callers ask to have read, by service.
    #[serde(rename = "reading")]
    pub prompt_rates: Vec<(name::Service, f64)>,
    /// Parts of prompts that it had read lately.
    #[serde(rename = "readings")]
    pub cached_parts: Vec<CachedPart>,
    /// Requests by window, as it counted them.
    pub windows: Windows,
    /// Requests that it suspects of ending endpoints.
    pub suspicions: Vec<Suspicion>,
    /// The last order of each service to roll a version out.
    pub rollouts: Vec<Rollout>,
    /// The rates that endpoints named in answers to it, and those that they name no more.
    pub rates: Vec<Rate>,
    /// What it saw of the answers of both versions while such an order stands.
    pub evidence: Vec<(name::Service, rollout::Evidence)>,
    /// The availability zones of the entries that it knows.
    pub zones: Vec<name::Zone>,
    /// The entries that it knows.
    pub members: Vec<Member>,
}

impl State {
    /// Leaves out what only entries of the same zone and the keepers of others need.
    #[must_use]
    pub fn brief(self) -> Self {
        Self {
            limit_usage: Vec::new(),
            in_flight: Vec::new(),
            cached_parts: Vec::new(),
            zones: Vec::new(),
            members: Vec::new(),
            ..self
        }
    }

    /// Returns whether it is brief; the answer is brief then too.
    pub const fn is_brief(&self) -> bool {
        self.zones.is_empty()
    }
}

/// The answer to a [`State`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Reply {
    /// What the entry that is asked says of itself.
    pub state: State,
    /// All registrations that it knows, when it knows them to be newer and other than the asker's.
    pub endpoints: Option<Vec<Registration>>,
}
