//! The control thread's state, and the views of it that are published to the threads that serve requests.

mod age;
mod behind;
mod copies;
mod inner;
mod organisation;
mod parts;
mod paths;
mod publish;
mod rates;
mod rollouts;
pub mod routing;
mod suspects;
mod talk;
mod tolerances;
mod versions;
mod zone;

use core::cell::RefCell;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_claim::lease::Notice;
use bergamotshift_core::prelude::*;
use slog::info;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use self::inner::Inner;
pub use self::rollouts::Rollout;
pub use self::talk::Recipient;
pub use self::versions::Version;
use crate::document::Document;
use crate::duty::Handover;
use crate::endpoint::Change;
use crate::endpoint::Endpoint;
use crate::endpoint::Event;
use crate::follow::MAX_AGE;
use crate::follow::Turn;
use crate::limits::Keepers;
use crate::observe::Topic;
use crate::outside::Cursor;
use crate::outside::Instructions;
use crate::peers::Contact;
use crate::peers::Offer;
use crate::peers::Question;
use crate::peers::Reply;
use crate::peers::State;
use crate::peers::update::MAX_UPLOADS;
use crate::view::Shared;

/// A query from another entry, with the channel for its answer.
#[derive(Debug)]
pub enum Query {
    /// Exchange of states between two entries.
    Exchange {
        /// State of the other entry.
        question: Box<Question>,
        /// Channel for the answer.
        reply: oneshot::Sender<Reply>,
    },
    /// Request for a newer document.
    Document {
        /// Version that the other entry has.
        version: u64,
        /// Channel for the answer.
        reply: oneshot::Sender<Offer>,
    },
}

/// Handle to the control thread's state; clones share the state.
#[derive(Clone, Debug)]
pub struct Control {
    shared: Arc<Shared>,
    inner: Rc<RefCell<Inner>>,
    /// Sender of the queries from other entries.
    queries: mpsc::UnboundedSender<Query>,
    /// Receiver of those queries, until it is taken.
    inbox: Rc<RefCell<Option<mpsc::UnboundedReceiver<Query>>>>,
    /// Wakes the task that follows the document when another entry has a newer one.
    newer_document: Rc<Notify>,
    /// Limits the number of concurrent uploads of the document to other entries.
    uploads: Arc<Semaphore>,
}

impl Control {
    /// Creates a control without a document, endpoints or peers.
    pub fn new(shared: Arc<Shared>) -> Self {
        let (queries, inbox) = mpsc::unbounded_channel();
        let inner = Inner::new(&shared);
        Self {
            shared,
            inner: Rc::new(RefCell::new(inner)),
            queries,
            inbox: Rc::new(RefCell::new(Some(inbox))),
            newer_document: Rc::default(),
            uploads: Arc::new(Semaphore::new(MAX_UPLOADS)),
        }
    }

    /// Returns the state that all threads of the entry share.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the sender for queries from other entries.
    pub fn query_sender(&self) -> mpsc::UnboundedSender<Query> {
        self.queries.clone()
    }

    /// Returns the receiver of queries from other entries; `None` from the second call on.
    pub fn take_queries(&self) -> Option<mpsc::UnboundedReceiver<Query>> {
        self.inbox.borrow_mut().take()
    }

    /// Returns this entry's turn to read the store, and to perform tasks that are needed only once in the fleet.
    pub fn turn(&self) -> Turn {
        let now = self.now();
        self.inner.borrow().turn(now)
    }

    /// Counts a call of the store, and logs when the call begins to fail or succeeds again.
    pub fn record_call(&self, call: &'static str, error: Option<&bergamotshift_platform::Error>) {
        self.shared.metrics.count_call(call, error.is_none());
        let mut inner = self.inner.borrow_mut();
        let was_failing = inner.failed_calls.contains(call);
        match error {
            Some(error) if !was_failing => {
                inner.failed_calls.insert(call);
                info!(self.shared.log.always(), "dependency lost"; "call" => call, "cause" => %error);
            }
            None if was_failing => {
                inner.failed_calls.remove(call);
                info!(self.shared.log.always(), "dependency regained"; "call" => call);
            }
            _ => {}
        }
    }

    /// Returns the document in force.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.inner.borrow().document)
    }

    /// Returns the cursor up to which the document is known; `None` before the first read.
    pub fn document_cursor(&self) -> Option<Cursor> {
        let inner = self.inner.borrow();
        inner
            .document_checkpoint
            .age(self.now())
            .map(|_| inner.document_checkpoint.cursor())
    }

    /// Returns the time until this entry has to read the document itself.
    pub fn document_due(&self, interval: Duration) -> Duration {
        let now = self.now();
        let inner = self.inner.borrow();
        if inner.document_checkpoint.age(now).is_none() {
            return inner.first_read_due(now, |state| state.document > 0);
        }
        inner.document_checkpoint.due(now, interval, inner.turn(now))
    }

    /// Applies the document and the rollout orders that were read from the store, which were current at `as_of`; returns
    /// `false` if the answer is older than what this entry knows.
    pub fn apply_stored_document(&self, instructions: Instructions, cursor: Cursor, as_of: Instant) -> bool {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let known = inner.document_checkpoint.cursor();
        if cursor.era < known.era {
            self.report_dropped(now, "document", cursor, known);
            return false;
        }
        inner.document_checkpoint.confirm(now, cursor, now.since(as_of));
        inner.apply_stored_rollouts(now, &self.shared, instructions.rollouts, cursor.era > known.era);
        for (service, cause) in &instructions.unreadable {
            self.shared.metrics.registrations_unread.inc();
            if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::State) {
                info!(logger, "rollout not read"; "service" => service.as_str(), "cause" => %cause,
                    "left_out" => left_out);
            }
        }
        if let Some(document) = instructions.document {
            inner.apply_document(now, &self.shared, document, None, "store");
        }
        cursor >= known
    }

    /// Returns the cursor up to which the registrations are known; `None` before the first read.
    pub fn registrations_cursor(&self) -> Option<Cursor> {
        let inner = self.inner.borrow();
        inner
            .registrations_checkpoint
            .age(self.now())
            .map(|_| inner.registrations_checkpoint.cursor())
    }

    /// Returns whether the registrations are so old that requests may go to endpoints that left long ago.
    pub fn has_outdated_registrations(&self) -> bool {
        let now = self.now();
        let age = self.inner.borrow().registrations_checkpoint.age(now);
        age.is_none_or(|age| age > MAX_AGE)
    }

    /// Returns the time until this entry has to read the registrations itself.
    pub fn registrations_due(&self, interval: Duration) -> Duration {
        let now = self.now();
        let inner = self.inner.borrow();
        if inner.registrations_checkpoint.age(now).is_none() {
            return inner.first_read_due(now, |state| state.endpoints_freshness.is_some());
        }
        inner.registrations_checkpoint.due(now, interval, inner.turn(now))
    }

    /// Applies registrations that were read from the store, which were current at `as_of`; returns `false` if they are
    /// older than what this entry knows and were dropped.
    ///
    /// An answer tells how things were when it was asked for. It may be slow, or wait while this process stands still.
    pub fn apply_stored_registrations(&self, event: Event, cursor: Cursor, as_of: Instant) -> bool {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        // Another entry may have sent newer changes while this answer was in flight.
        let known = inner.registrations_checkpoint.cursor();
        if cursor.era < known.era || cursor < known && matches!(event, Event::Listed(_)) {
            self.report_dropped(now, "registrations", cursor, known);
            return false;
        }
        inner.advance_registrations(now, &self.shared, cursor, now.since(as_of));
        inner.directory.set_position(cursor);
        inner.has_diverged = false;
        inner.apply_endpoints(now, as_of, &self.shared, event, "store");
        true
    }

    /// Logs that an answer of the store is older than what this entry knows.
    fn report_dropped(&self, now: Instant, call: &'static str, cursor: Cursor, known: Cursor) {
        self.shared.metrics.answers_dropped.inc();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::State) {
            info!(logger, "older answer dropped"; "call" => call, "cursor" => %cursor, "known" => %known,
                "left_out" => left_out);
        }
    }

    /// Logs that the store no longer has the changes after a cursor, so that everything is read again.
    pub fn report_truncated(&self, call: &'static str, after: Option<Cursor>) {
        if let Some((logger, left_out)) = self.shared.log.rate_limited(self.now(), Topic::State) {
            info!(logger, "history truncated"; "call" => call, "cursor" => after.map(|cursor| cursor.to_string()),
                "left_out" => left_out);
        }
    }

    /// Counts and logs registrations that cannot be decoded.
    pub fn report_unreadable(&self, changes: &[Change]) {
        for change in changes {
            let Change::Unreadable { id, cause } = change else {
                continue;
            };
            self.shared.metrics.registrations_unread.inc();
            if let Some((logger, left_out)) = self.shared.log.rate_limited(self.now(), Topic::State) {
                info!(logger, "registration not read"; "endpoint" => id.as_str(), "cause" => %cause,
                    "left_out" => left_out);
            }
        }
    }

    /// Records that the registrations could not be read from the store.
    pub fn registrations_unavailable(&self) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        // Missing registrations are inconclusive only if the store itself is unavailable.
        if inner.members.suspects_store_outage(now, inner::STATE_TTL) {
            inner.apply_endpoints(now, now, &self.shared, Event::StoreFailed, "store");
        }
    }

    /// Records that an endpoint died at `at` while it was running a request; `is_confirmed` is whether that cannot be a cut.
    pub fn endpoint_died(&self, endpoint: u64, at: Instant, fingerprint: Fingerprint, is_confirmed: bool) {
        let mut inner = self.inner.borrow_mut();
        if let Some(endpoint) = inner.directory.by_hash(endpoint).cloned() {
            inner.record_death(at, &self.shared, &endpoint, fingerprint, is_confirmed);
        }
    }

    /// Adds an entry that the list of entries contains.
    pub fn add_listed(&self, contact: &Contact) {
        let now = self.now();
        self.inner.borrow_mut().members.add_contact(now, contact);
    }

    /// Records that this entry's row was written by a call that began at `asked`.
    pub fn row_written(&self, asked: Instant) {
        self.inner.borrow_mut().row_written = asked;
    }

    /// Returns whether this entry has to read the list of entries sooner than usual, as it does not hear one of them.
    pub fn needs_entry_list(&self) -> bool {
        let now = self.now();
        self.inner.borrow().members.needs_list(now)
    }

    /// Records that the list of entries was read, which was asked for at `asked`. `busy` contains the organisations that the entries stored as busy; it
    /// is `None` if this entry joins others that already serve.
    ///
    /// An entry that joins gets only the part of a burst that the others release. If each new entry started with a part
    /// that the existing ones still hold, an organisation would have more than twice its burst after sixteen entries
    /// joined. Only an entry that restarts, or the first one, gets a part at once.
    pub fn entry_list_read(&self, asked: Instant, busy: Option<Vec<name::Organisation>>) {
        let mut inner = self.inner.borrow_mut();
        inner.members.set_list_read(asked);
        let is_first = !inner.entries_listed;
        inner.entries_listed = true;
        if is_first {
            if busy.is_none() {
                info!(self.shared.log.always(), "limits left to others"; "members" => inner.members.count());
            }
            inner.busy_before_start = busy;
            let now = self.now();
            inner.restore_limits(now, &self.shared);
            inner.publish(&self.shared);
        }
    }

    /// Adds versions of services that served before, as another entry stored them.
    pub fn add_versions(&self, versions: Vec<(name::Service, SmolStr)>) {
        let now = self.now();
        self.inner.borrow_mut().add_versions(now, &self.shared, versions);
    }

    /// Returns the versions of services that serve, or served within the lifetime of streams.
    pub fn versions(&self) -> Vec<(name::Service, SmolStr)> {
        self.inner.borrow().all_versions()
    }

    /// Returns the organisations whose recent demand was a large part of their limits.
    pub fn busy_organisations(&self) -> Vec<name::Organisation> {
        let now = self.now();
        self.inner.borrow().busy_organisations(now)
    }

    /// Returns the entries to exchange states with now, and their addresses.
    pub fn due_peers(&self, limit: usize) -> Vec<(name::Entry, SocketAddr)> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let holder = inner.duty_holder.as_ref().map(|holder| holder.process.entry.clone());
        let states = inner.members.recent_states(now, inner::STATE_TTL);
        let ahead = states.filter(|(_, state)| inner.is_ahead(state));
        let ahead: BTreeSet<_> = ahead.map(|(entry, _)| entry.clone()).collect();
        inner
            .members
            .set_urgent(self.shared.rollout_evidence.take_canary_failed());
        inner.members.due(now, limit, holder.as_ref(), &ahead)
    }

    /// Returns the share of a CPU core that this entry may use, in thousandths.
    pub fn core_share(&self) -> u16 {
        inner::core_share(&self.shared)
    }

    /// Returns the keeper and the deputy of the zone.
    pub fn keepers(&self) -> Keepers {
        self.inner.borrow().keepers
    }

    /// Returns the number of known entries, including this one.
    pub fn entry_count(&self) -> usize {
        self.inner.borrow().members.count()
    }

    /// Returns whether no other entry is known.
    pub fn is_alone(&self) -> bool {
        self.inner.borrow().members.count() == 1
    }

    /// Records that another entry did not answer; `is_silent` tells a timeout from a refused connection.
    pub fn peer_failed(&self, entry: &name::Entry, is_silent: bool) {
        let now = self.now();
        self.inner.borrow_mut().members.record_failure(now, entry, is_silent);
    }

    /// Returns what another entry needs of this entry's state.
    pub fn recipient(&self, entry: &name::Entry) -> Recipient {
        let now = self.now();
        self.inner.borrow().recipient(now, entry)
    }

    /// Returns the state that this entry sends to others.
    pub fn state(&self) -> State {
        let now = self.now();
        self.inner.borrow().state(now, &self.shared)
    }

    /// Recomputes limit shares, in-flight counts and metrics; called several times a second.
    pub fn tick(&self) {
        let now = self.now();
        self.inner.borrow_mut().tick(now, &self.shared);
    }

    /// Records whether this entry holds the duties, and the notice about their lease that it sends to others.
    pub fn set_duties(&self, held: bool, notice: Option<Notice>) {
        let mut inner = self.inner.borrow_mut();
        inner.holds_duties = held;
        inner.lease_notice = notice;
        self.shared.metrics.duty_holder.set(i64::from(held));
    }

    /// Takes the newest notice about the duties' lease that arrived since the last call, adjusted to the current time.
    pub fn take_lease_notice(&self) -> Option<Notice> {
        let now = self.now();
        let (notice, received) = self.inner.borrow_mut().peer_lease_notice.take()?;
        Some(notice.aged(now.since(received)))
    }

    /// Records what this entry leaves to the next holder of the duties.
    pub fn set_handover(&self, handover: Handover) {
        let mut inner = self.inner.borrow_mut();
        inner.learn_handover(&self.shared, handover, "own");
    }

    /// Returns the newest handover of the duties that is known.
    pub fn handover(&self) -> Option<Handover> {
        self.inner.borrow().handover
    }

    /// Records the last usage window that this entry reported or left out, for the other entries.
    pub fn set_reported(&self, window: u64) {
        let mut inner = self.inner.borrow_mut();
        inner.reported = inner.reported.max(window);
    }

    /// Returns the last usage window that is known to be reported or left out.
    pub fn reported(&self) -> u64 {
        self.inner.borrow().reported
    }

    /// Returns the era of the store that this entry, or another one that it heard from, knows.
    pub fn store_era(&self) -> u64 {
        self.inner.borrow().registrations_checkpoint.cursor().era
    }

    /// Returns whether another entry recently reported that it reaches the store.
    pub fn others_reach_store(&self) -> bool {
        let now = self.now();
        self.inner.borrow().others_reach_store(now)
    }

    /// Returns whether another entry recently reported that it holds the duties.
    pub fn is_held_elsewhere(&self) -> bool {
        let now = self.now();
        self.inner.borrow().is_held_elsewhere(now)
    }

    /// Returns whether the fleet is so large that updates from all entries take seconds to arrive.
    pub fn is_large(&self) -> bool {
        self.inner.borrow().members.is_large()
    }

    /// Returns the requests of all entries in a window, by organisation.
    pub fn usage(&self, window: u64) -> BTreeMap<name::Organisation, u64> {
        let inner = self.inner.borrow();
        let mut sum = self.shared.tally.windows().remove(&window).unwrap_or_default();
        let others = inner.peer_usage.values().filter_map(|windows| windows.get(&window));
        for (organisation, count) in others.flatten() {
            *sum.entry(organisation.clone()).or_default() += count;
        }
        sum
    }

    /// Returns the uncached prompt tokens per second in a service's requests to all entries.
    pub fn prompt_demand(&self, service: &name::Service) -> f64 {
        let now = self.now();
        self.inner.borrow().prompt_demand(now, service)
    }

    /// Returns the endpoints that accept requests.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        let inner = self.inner.borrow();
        let available = inner.directory.endpoints().filter(|endpoint| !endpoint.is_leaving());
        available.cloned().collect()
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}
