//! What callers, endpoints and the soak itself saw, with the time at which each saw it.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use smol_str::SmolStr;

use crate::endpoint::Notice;
use crate::site::Kind;
use crate::site::Tenant;

/// A request that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's identifier.
    pub id: SmolStr,
    /// The endpoint's incarnation.
    pub endpoint: SmolStr,
    /// The endpoint's service.
    pub service: &'static str,
    /// The organisation that the entry named.
    pub organisation: Option<SmolStr>,
    /// Whether the caller's key came along.
    pub has_key: bool,
    /// Whether the endpoint ran it, rather than refused it.
    pub ran: bool,
    /// What the endpoint said of itself in the answer.
    pub said: Notice,
    /// When it came.
    pub at: Duration,
}

/// How an exchange ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer that is whole and its own.
    Answered(u16),
    /// With bytes that are no such answer.
    Wrong(String),
    /// The connection ended before the answer did.
    Cut,
    /// Nothing came for as long as the caller waited.
    Silent,
    /// The caller left before the end.
    Left,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request's identifier.
    pub id: SmolStr,
    /// The entry that took it.
    pub entry: usize,
    /// Which start of that entry.
    pub life: u32,
    /// What was asked for.
    pub kind: Kind,
    /// Whose request it was.
    pub tenant: Tenant,
    /// Whether it was the first on its connection.
    pub is_first: bool,
    /// When it was sent.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub outcome: Outcome,
}

/// What else is known of an exchange that asked model engines.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The exchange's identifier.
    pub id: SmolStr,
    /// The identifier of the caller's first attempt at the same request.
    pub request: SmolStr,
    /// How long the caller still waited when it sent it.
    pub left: Duration,
    /// When the caller was told to return.
    pub retry_after: Option<Duration>,
}

/// A time in which an organisation overloaded the model engines.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Whose requests there were too many of.
    pub tenant: Tenant,
    /// When it began.
    pub from: Duration,
    /// When it was over; `None` while it lasts.
    pub until: Option<Duration>,
}

/// What was harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// An entry or its links.
    Entry(usize),
    /// An endpoint or its link.
    Endpoint(usize),
    /// The store.
    Store,
}

/// Something that the soak did.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// What it concerned.
    pub place: Place,
    /// What it was.
    pub what: &'static str,
    /// Whether operators do so in the course of their work.
    pub is_planned: bool,
    /// When it began.
    pub from: Duration,
    /// When it was over; `None` while it lasts.
    pub until: Option<Duration>,
}

/// A version of the operators' document.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// The service that runs requests of the moving route.
    pub service: &'static str,
    /// When the operators sent it.
    pub sent: Duration,
    /// When the store had it.
    pub acknowledged: Duration,
}

/// An endpoint that said it leaves.
#[derive(Clone, Debug)]
pub struct Leave {
    /// The endpoint's incarnation.
    pub endpoint: SmolStr,
    /// When the store had it.
    pub acknowledged: Duration,
}

/// A time in which an endpoint said something of itself.
#[derive(Clone, Debug)]
pub struct Saying {
    /// The endpoint's incarnation.
    pub endpoint: SmolStr,
    /// What it said.
    pub notice: Notice,
    /// From when on.
    pub from: Duration,
    /// Until when; `None` while it says so.
    pub until: Option<Duration>,
}

/// A time in which an endpoint was registered, and not as one that leaves.
#[derive(Clone, Debug)]
pub struct Serving {
    /// The endpoint's incarnation.
    pub endpoint: SmolStr,
    /// Its service.
    pub service: &'static str,
    /// The version of its software.
    pub version: SmolStr,
    /// From when on.
    pub from: Duration,
    /// Until when; `None` while it serves.
    pub until: Option<Duration>,
}

/// An attempt that takes up a stream that broke off.
#[derive(Clone, Debug)]
pub struct Resumption {
    /// The attempt's identifier.
    pub id: SmolStr,
    /// The service that is asked.
    pub service: &'static str,
    /// The version that wrote the events before.
    pub version: SmolStr,
    /// When the attempt that brought the first event was sent.
    pub began: Duration,
    /// Whether events came.
    pub went_on: bool,
}

/// All of it.
#[derive(Debug, Default)]
pub struct Book {
    /// Requests at endpoints, in the order in which they came.
    pub arrivals: Vec<Arrival>,
    /// Callers' attempts, in the order in which they ended.
    pub exchanges: Vec<Exchange>,
    /// What else is known of those that asked model engines.
    pub attempts: Vec<Attempt>,
    /// Times in which an organisation overloaded the model engines.
    pub overloads: Vec<Overload>,
    /// What the soak did.
    pub disruptions: Vec<Disruption>,
    /// The place of each incarnation of an endpoint.
    pub places: BTreeMap<SmolStr, usize>,
    /// The documents, oldest first.
    pub versions: Vec<Version>,
    /// Endpoints that left in order.
    pub leaves: Vec<Leave>,
    /// What endpoints said of themselves.
    pub sayings: Vec<Saying>,
    /// When endpoints served.
    pub serving: Vec<Serving>,
    /// Attempts that take up streams.
    pub resumptions: Vec<Resumption>,
    /// What went wrong with the processes themselves.
    pub faults: Vec<String>,
}

/// The book, shared by all threads of a run.
#[derive(Debug)]
pub struct Ledger {
    start: Instant,
    book: Mutex<Book>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            book: Mutex::default(),
        }
    }
}

impl Ledger {
    /// Returns how long the run has lasted.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the time of an instant, in the run's own time.
    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    /// Locks the book.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that something begins, whose end is noted by [`Self::end`].
    pub fn begin(&self, place: Place, what: &'static str, is_planned: bool) {
        self.push(place, what, is_planned, None);
    }

    /// Notes something that ends by itself after a time.
    pub fn during(&self, place: Place, what: &'static str, span: Duration) {
        self.push(place, what, false, Some(span));
    }

    /// Notes that what was done to a place is over.
    pub fn end(&self, place: Place, what: &'static str) {
        let now = self.now();
        let mut book = self.book();
        let open = book
            .disruptions
            .iter_mut()
            .filter(|disruption| disruption.until.is_none());
        for disruption in open.filter(|disruption| disruption.place == place && disruption.what == what) {
            disruption.until = Some(now);
        }
    }

    /// Notes something that is over at once.
    pub fn note(&self, place: Place, what: &'static str, is_planned: bool) {
        self.push(place, what, is_planned, Some(Duration::ZERO));
    }

    fn push(&self, place: Place, what: &'static str, is_planned: bool, span: Option<Duration>) {
        let from = self.now();
        self.book().disruptions.push(Disruption {
            place,
            what,
            is_planned,
            from,
            until: span.map(|span| from + span),
        });
    }
}

impl Book {
    /// Notes that an endpoint serves no more.
    pub fn end_serving(&mut self, endpoint: &SmolStr, now: Duration) {
        let open = self.serving.iter_mut().filter(|one| one.until.is_none());
        for serving in open.filter(|one| one.endpoint == *endpoint) {
            serving.until = Some(now);
        }
    }

    /// Returns whether nothing that `counts` happened between two times.
    pub fn is_calm(&self, from: Duration, until: Duration, counts: impl Fn(&Disruption) -> bool) -> bool {
        let met = |disruption: &Disruption| disruption.from <= until && disruption.until.is_none_or(|end| end >= from);
        !self
            .disruptions
            .iter()
            .any(|disruption| met(disruption) && counts(disruption))
    }
}
