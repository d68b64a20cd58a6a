//! Messages that entries exchange, and those that pass between the threads of one entry.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_claim::lease;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine::Suspicion;
use bergamotshift_limit::quarantine::part;
use bergamotshift_limit::throttle::RateLimit;
use bergamotshift_rollout as rollout;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::process::Process;
use crate::choice::CachedPart;
use crate::dialect::Part;
use crate::duty::Handover;
use crate::duty::Windows;
use crate::endpoint::Change;
use crate::endpoint::Endpoint;
use crate::endpoint::Event;
use crate::endpoint::Registration;
use crate::endpoint::Removal;
use crate::limits::tail;
use crate::outside::Cursor;

/// A request whose connection to an endpoint broke.
#[derive(Clone, Debug)]
pub struct Loss {
    /// The endpoint, by its hash.
    pub endpoint: u64,
    /// The identifier of the caller's attempt.
    pub request: SmolStr,
    /// The fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt, in order.
    pub parts: Vec<Part>,
    /// Those of them that other requests may share, by which it may be suspected.
    pub suspects: Vec<part::Part>,
    /// Whether the endpoint's answer showed that the request does not crash it at the beginning.
    pub has_begun: bool,
    /// The time at which the connection broke.
    pub at: Instant,
}

/// An event that a request reports to the control thread.
#[derive(Clone, Debug)]
pub enum Note {
    /// A connection broke while an endpoint was processing a request.
    ConnectionLost(Loss),
}

/// An entry of the fleet, as another entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The entry.
    pub entry: name::Entry,
    /// The address at which other entries reach it.
    pub address: SocketAddr,
    /// The index of its availability zone in [`State::zones`].
    pub zone: u8,
    /// The share of a CPU core that it may use, in thousandths.
    pub core_share: u16,
    /// The time since any entry last received a message from it, in milliseconds.
    pub age_ms: u16,
    /// Whether it is shutting down.
    #[serde(rename = "stops")]
    pub is_stopping: bool,
}

/// An organisation's demand at one entry, and the share of the organisation's limit that the entry uses. The keeper of
/// a zone in a large fleet sends the figures of its whole zone.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// The organisation.
    pub organisation: name::Organisation,
    /// The demand, in units per second.
    pub demand: f64,
    /// The share of the limit, between 0 and 1.
    pub share: f64,
}

/// One entry's work in flight at an endpoint. The keeper of a zone sends the figures of its whole zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlight {
    /// The endpoint, by its hash.
    pub endpoint: u64,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens that the endpoint has yet to read.
    pub unread: u64,
}

impl InFlight {
    /// Creates the record of an endpoint without work in flight.
    pub const fn none(endpoint: u64) -> Self {
        Self {
            endpoint,
            running: 0,
            unread: 0,
        }
    }
}

/// The rate limit that an endpoint announced, as entries pass it on.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Rate {
    /// The endpoint, by its hash.
    pub endpoint: u64,
    /// Requests per second from all entries together; `None` when the endpoint no longer announces a limit.
    pub rate: Option<f64>,
    /// The age of this information, in milliseconds.
    pub age_ms: u32,
}

impl Rate {
    /// Creates a message from the newest rate limit known for an endpoint.
    pub fn of(endpoint: &Endpoint, now: Instant) -> Self {
        Self::new(endpoint, endpoint.signals.throttle.limit(), now)
    }

    /// Creates a message from a rate limit that an endpoint announced.
    pub fn new(endpoint: &Endpoint, limit: RateLimit, now: Instant) -> Self {
        Self {
            endpoint: endpoint.hash,
            rate: limit.rate,
            age_ms: u32::try_from(now.since(limit.at).as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Converts a message received at `now` back into an announcement, with its time on this entry's clock.
    pub fn received_at(&self, now: Instant) -> RateLimit {
        RateLimit {
            rate: self.rate,
            at: now - Duration::from_millis(self.age_ms.into()),
        }
    }
}

/// The rejections that an endpoint tolerates, as entries pass it on.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Tolerance {
    /// The endpoint, by its hash.
    pub endpoint: u64,
    /// Rejections per second, to all entries together.
    pub rejections: f64,
    /// The age of this information, in milliseconds.
    pub age_ms: u32,
    /// The time for which the sender sends nothing there after a rejection, in milliseconds.
    pub held_ms: u32,
}

/// The last change of the store that a copy of its data includes, and how long ago the copy was known to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Freshness {
    /// The position in the store's history of changes.
    pub cursor: Cursor,
    /// The time since the copy was known to be current, in milliseconds.
    pub age_ms: u32,
}

/// The stage of an entry's life cycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// The entry serves callers.
    #[default]
    Serves,
    /// The entry serves callers and is the keeper of its zone: [`State::limit_usage`] and [`State::in_flight`] are
    /// those of all entries there.
    Keeps,
    /// The entry is shutting down.
    Stops,
}

/// An operator's order to roll out a version, as entries pass it on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rollout {
    /// The order.
    pub order: rollout::Order,
    /// The time since the order was given, in milliseconds.
    pub age_ms: u32,
    /// The current directive of the entry that holds the duties.
    pub directive: Option<rollout::Directive>,
}

/// An entry's state, as it sends it to other entries; about a kilobyte with 16 endpoints and 5 organisations.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// The sender.
    pub entry: name::Entry,
    /// A random identifier of the sender's process; its counters start at zero in each process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The address at which other entries reach the sender.
    pub address: SocketAddr,
    /// The address at which the sender opens connections to endpoints for other entries; `None` while it does not.
    pub relay: Option<SocketAddr>,
    /// The sender's availability zone.
    pub zone: name::Zone,
    /// The share of a CPU core that the sender may use, in thousandths.
    pub core_share: u16,
    /// The stage of the sender's life cycle.
    pub stage: Stage,
    /// Whether the sender holds the duties.
    #[serde(rename = "holds")]
    pub holds_duties: bool,
    /// The state of the duties' lease, when the sender holds it or released it.
    pub lease: Option<lease::Notice>,
    /// The process of another entry that holds the duties as far as the sender knows, and the time since it confirmed
    /// that, in milliseconds.
    pub holder: Option<(Process, u32)>,
    /// The newest handover of the duties that the sender knows.
    pub handover: Option<Handover>,
    /// Whether the store answered the sender's last calls.
    pub reaches_store: bool,
    /// The version of the sender's document; 0 without one.
    pub document: u64,
    /// The freshness of the sender's document.
    #[serde(rename = "document_known")]
    pub document_freshness: Option<Freshness>,
    /// A digest of the endpoints that the sender knows and of those among them that are leaving.
    pub endpoints: u64,
    /// The freshness of the sender's endpoints.
    #[serde(rename = "endpoints_known")]
    pub endpoints_freshness: Option<Freshness>,
    /// The demand of the sender's callers, and the shares of limits that it uses.
    #[serde(rename = "uses")]
    pub limit_usage: Vec<Usage>,
    /// The sender's work in flight.
    #[serde(rename = "flown")]
    pub in_flight: Vec<InFlight>,
    /// Prompt tokens per second that the sender's callers submit, by service.
    #[serde(rename = "reading")]
    pub prompt_rates: Vec<(name::Service, f64)>,
    /// Parts of prompts that endpoints read recently for requests that the sender placed; they are likely still cached
    /// there.
    #[serde(rename = "readings")]
    pub cached_parts: Vec<CachedPart>,
    /// Requests by usage window, as the sender counted them.
    pub windows: Windows,
    /// The last usage window that was reported or left out, as far as the sender knows.
    pub reported: u64,
    /// Requests that the sender suspects of crashing endpoints.
    pub suspicions: Vec<Suspicion>,
    /// Evidence on parts of prompts that crash endpoints.
    pub parts: Vec<part::Suspicion>,
    /// The last rollout order of each service.
    pub rollouts: Vec<Rollout>,
    /// The rate limits that endpoints announced or lifted in answers to the sender.
    pub rates: Vec<Rate>,
    /// The rejections that endpoints tolerate.
    pub tolerances: Vec<Tolerance>,
    /// The outcomes of requests to both versions that the sender observed during each rollout.
    pub evidence: Vec<(name::Service, rollout::Evidence)>,
    /// The availability zones of the entries that the sender knows; empty in a brief state.
    pub zones: Vec<name::Zone>,
    /// The entries that the sender knows.
    pub members: Vec<Member>,
}

impl State {
    /// Returns the process that sent the state.
    pub fn process(&self) -> Process {
        Process {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Leaves out the parts that only entries of the same zone and the keepers of other zones need.
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

    /// Leaves out what only the holder of the duties needs.
    #[must_use]
    pub fn without_usage(self) -> Self {
        Self {
            windows: Windows::new(),
            ..self
        }
    }

    /// Makes what the sender knows of the store older by the age of the message; `None` if that is unknown.
    #[must_use]
    pub fn aged(self, by: Option<Duration>) -> Self {
        let millis = by.map_or(u32::MAX, |by| u32::try_from(by.as_millis()).unwrap_or(u32::MAX));
        let older = |freshness: Freshness| Freshness {
            age_ms: freshness.age_ms.saturating_add(millis),
            ..freshness
        };
        Self {
            document_freshness: self.document_freshness.map(older),
            endpoints_freshness: self.endpoints_freshness.map(older),
            ..self
        }
    }

    /// Returns whether the state is brief; the reply to a brief state is brief too.
    pub const fn is_brief(&self) -> bool {
        self.zones.is_empty()
    }
}

/// Registrations for an entry whose own are older.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Registrations {
    /// All registrations.
    All(Vec<Registration>),
    /// What changed since the requester's digest.
    Changes {
        /// Registrations that were written.
        written: Vec<Registration>,
        /// Identifiers of registrations that were removed.
        removed: Vec<SmolStr>,
    },
}

impl Registrations {
    /// Creates a message from the changes since the requester's digest.
    pub fn changes(changes: Vec<Change>) -> Self {
        let (mut written, mut removed) = (Vec::new(), Vec::new());
        for change in changes {
            match change {
                Change::Written(registration) => written.push(registration),
                Change::Removed(id) | Change::Unreadable { id, .. } => removed.push(id),
            }
        }
        Self::Changes { written, removed }
    }

    /// Converts the message to an event of the requester's directory.
    pub fn into_event(self) -> Event {
        match self {
            Self::All(registrations) => Event::Relayed(registrations),
            Self::Changes { written, removed } => {
                let written = written.into_iter().map(Change::Written);
                Event::Changed(written.chain(removed.into_iter().map(Change::Removed)).collect())
            }
        }
    }
}

/// Time on the clock of a process, which other entries return to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Echo {
    /// The incarnation of the process.
    pub incarnation: u64,
    /// The time at which it sent its last message that arrived.
    pub sent: Instant,
    /// The time since that message arrived, in milliseconds.
    pub held_ms: u32,
}

/// Times of a question, by which its receiver judges how old it may be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Times {
    /// The time at which it was sent, on the sender's clock.
    pub sent: Instant,
    /// The time of the last message that the sender got from the receiver.
    pub echo: Option<Echo>,
}

impl Times {
    /// Returns the age of a question at `now`, or more; `None` if it does not show that the process of this incarnation
    /// was heard before.
    ///
    /// It may have waited on its way, or in a buffer while the process stood still, but was sent after the message that
    /// it returns the time of.
    pub fn age(&self, now: Instant, incarnation: u64) -> Option<Duration> {
        let echo = self.echo.filter(|echo| echo.incarnation == incarnation)?;
        Some(now.since(echo.sent + Duration::from_millis(echo.held_ms.into())))
    }
}

/// A [`State`] that asks for the receiver's.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Question {
    /// The state.
    pub state: State,
    /// Times that show its age.
    #[serde(deserialize_with = "tail::read")]
    pub times: Times,
}

/// The reply to a [`Question`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Reply {
    /// The replying entry's state.
    pub state: State,
    /// Registrations, when the replying entry's are newer than the requester's and differ from them.
    pub endpoints: Option<Registrations>,
    /// Endpoints whose registrations were removed lately, when the requester's process started a moment ago.
    #[serde(deserialize_with = "tail::read")]
    pub removals: Vec<Removal>,
    /// The time at which it was sent.
    #[serde(deserialize_with = "tail::read")]
    pub sent: Instant,
    /// Versions of services that are declared in the store, as far as the replying entry knows.
    #[serde(deserialize_with = "tail::read")]
    pub declared: Vec<(name::Service, SmolStr)>,
}
