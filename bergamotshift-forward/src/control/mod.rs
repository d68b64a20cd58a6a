//! What the control thread knows, and the pictures that it publishes from that.

mod behind;
mod copies;
mod inner;
mod organisation;
mod publish;
mod rates;
mod rollouts;
mod talk;
mod zone;

use core::cell::RefCell;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_claim::lease::Word;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine;
use slog::info;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use self::inner::Inner;
use self::inner::victim;
pub use self::rollouts::Rollout;
use crate::document::Document;
use crate::endpoint::Change;
use crate::endpoint::Endpoint;
use crate::endpoint::Event;
use crate::limits::Keeping;
use crate::observe::Topic;
use crate::outside::Cursor;
use crate::outside::Written;
use crate::peers::Listed;
use crate::peers::Offer;
use crate::peers::Reply;
use crate::peers::State;
use crate::peers::update::UPLOADS;
use crate::view::Shared;

/// A question of another entry, with the way back of its answer.
#[derive(Debug)]
pub enum Query {
    /// What this entry knows.
    Exchange {
        /// What the other entry says of itself.
        state: Box<State>,
        /// Gets the answer.
        reply: oneshot::Sender<Reply>,
    },
    /// The newest document.
    Document {
        /// The version that the other entry has.
        version: u64,
        /// Gets the answer.
        reply: oneshot::Sender<Offer>,
    },
}

/// What the control thread knows; clones share it.
#[derive(Clone, Debug)]
pub struct Control {
    shared: Arc<Shared>,
    inner: Rc<RefCell<Inner>>,
    queries: mpsc::UnboundedSender<Query>,
    inbox: Rc<RefCell<Option<mpsc::UnboundedReceiver<Query>>>>,
    /// Wakes whoever follows the document when another entry has a newer one.
    newer_document: Rc<Notify>,
    /// How many more entries may be given the document now.
    uploads: Arc<Semaphore>,
}

impl Control {
    /// Makes a control that knows nothing yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        let (queries, inbox) = mpsc::unbounded_channel();
        let inner = Inner::new(&shared);
        Self {
            shared,
            inner: Rc::new(RefCell::new(inner)),
            queries,
            inbox: Rc::new(RefCell::new(Some(inbox))),
            newer_document: Rc::default(),
            uploads: Arc::new(Semaphore::new(UPLOADS)),
        }
    }

    /// Returns what the threads share.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns where questions of other entries go.
    pub fn query_sender(&self) -> mpsc::UnboundedSender<Query> {
        self.queries.clone()
    }

    /// Returns the questions of other entries; `None` from the second call on.
    pub fn take_queries(&self) -> Option<mpsc::UnboundedReceiver<Query>> {
        self.inbox.borrow_mut().take()
    }

    /// Returns how many of the entries heard lately come before this one; the first does what need be done once.
    pub fn rank(&self) -> usize {
        let now = self.now();
        self.inner.borrow().rank(now)
    }

    /// Counts a call of the store, and logs when it stops or begins to answer.
    pub fn record_call(&self, call: &'static str, error: Option<&bergamotshift_platform::Error>) {
        self.shared.metrics.called(call, error.is_none());
        let mut inner = self.inner.borrow_mut();
        let lost = inner.failed_calls.contains(call);
        match error {
            Some(error) if !lost => {
                inner.failed_calls.insert(call);
                info!(self.shared.log.always(), "dependency lost"; "call" => call, "cause" => %error);
            }
            None if lost => {
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

    /// Returns up to which change the document is known; `None` before it was read.
    pub fn document_cursor(&self) -> Option<Cursor> {
        let inner = self.inner.borrow();
        inner
            .document_freshness
            .age(self.now())
            .map(|_| inner.document_freshness.cursor())
    }

    /// Returns how long until the document has to be looked at.
    pub fn document_due(&self, look: Duration) -> Duration {
        let now = self.now();
        let inner = self.inner.borrow();
        inner.document_freshness.due(now, look, inner.rank(now))
    }

    /// Takes in what the store tells of the document.
    pub fn apply_stored_document(&self, written: Written, cursor: Cursor) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        inner.document_freshness.confirm(now, cursor, Duration::ZERO);
        inner.apply_stored_rollouts(now, &self.shared, written.rollouts);
        for (service, cause) in &written.unread {
            self.shared.metrics.unread.inc();
            if let Some((logger, left_out)) = self.shared.log.room(now, Topic::Belief) {
                info!(logger, "rollout not read"; "service" => service.as_str(), "cause" => %cause,
                    "left_out" => left_out);
            }
        }
        if let Some(document) = written.document {
            inner.apply_document(now, &self.shared, document, None, "store");
        }
    }

    /// Returns up to which change the registrations are known; `None` before they were read.
    pub fn registrations_cursor(&self) -> Option<Cursor> {
        let inner = self.inner.borrow();
        inner
            .registrations_freshness
            .age(self.now())
            .map(|_| inner.registrations_freshness.cursor())
    }

    /// Returns how long until the registrations have to be looked at.
    pub fn registrations_due(&self, look: Duration) -> Duration {
        let now = self.now();
        let inner = self.inner.borrow();
        inner.registrations_freshness.due(now, look, inner.rank(now))
    }

    /// Takes in what the store tells of the registrations.
    pub fn apply_stored_registrations(&self, event: Event, cursor: Cursor) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        // Another entry may have told of newer changes while this answer was on its way.
        let is_older = cursor < inner.registrations_freshness.cursor();
        if is_older && matches!(event, Event::Listed(_)) {
            return;
        }
        inner.registrations_freshness.confirm(now, cursor, Duration::ZERO);
        inner.apply_endpoints(now, &self.shared, event, "store");
    }

    /// Counts and logs what stands among the registrations and cannot be read.
    pub fn report_unreadable(&self, changes: &[Change]) {
        for change in changes {
            let Change::Unreadable { id, cause } = change else {
                continue;
            };
            self.shared.metrics.unread.inc();
            if let Some((logger, left_out)) = self.shared.log.room(self.now(), Topic::Belief) {
                info!(logger, "registration not read"; "endpoint" => id.as_str(), "cause" => %cause,
                    "left_out" => left_out);
            }
        }
    }

    /// Takes in that the store did not tell of the registrations.
    pub fn registrations_unavailable(&self) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        // Only while the store is away does what is missing there prove nothing.
        if inner.members.misses_store(now, inner::STATE_TTL) {
            inner.apply_endpoints(now, &self.shared, Event::StoreFailed, "store");
        }
    }

    /// Takes in that an endpoint ended while it had a request.
    pub fn endpoint_died(&self, endpoint: u64, fingerprint: Fingerprint) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let Some(victim) = inner.directory.by_hash(endpoint).map(|endpoint| victim(endpoint)) else {
            return;
        };
        info!(self.shared.log.always(), "endpoint ended with a request"; "endpoint" => victim.vm.as_str(),
            "fingerprint" => format!("{:032x}", fingerprint.get()));
        let death = quarantine::Death {
            victim,
            announced: false,
            running: vec![fingerprint],
        };
        inner.quarantine.died(now, death);
        inner.publish(&self.shared);
    }

    /// Notes that the list names another entry.
    pub fn add_listed(&self, listed: &Listed) {
        let now = self.now();
        self.inner.borrow_mut().members.listed(now, listed);
    }

    /// Notes that the list of entries was read, with the organisations that they wrote to be busy; `None` where this entry
    /// joins others that serve already.
    ///
    /// Failure: entries join one after the other, and each starts with a part of every organisation's burst, which the ones
    /// before hold too. Symptom: with sixteen that join, an organisation has its burst more than twice. Only an entry that is
    /// back, or the first one, gets a part at once; one that joins gets what the others leave.
    pub fn entry_list_read(&self, busy: Option<Vec<name::Organisation>>) {
        let mut inner = self.inner.borrow_mut();
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

    /// Returns the organisations that asked for much of their limits lately.
    pub fn busy_organisations(&self) -> Vec<name::Organisation> {
        let now = self.now();
        self.inner.borrow().busy_organisations(now)
    }

    /// Returns whom to ask now.
    pub fn due_peers(&self, limit: usize) -> Vec<(name::Entry, SocketAddr)> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let holder = inner.duty_holder.as_ref().map(|holder| holder.entry.clone());
        inner.members.hurry(self.shared.rollout_evidence.take_urgent());
        inner.members.due(now, limit, holder.as_ref())
    }

    /// Returns the part of a core that this entry may use, in thousandths.
    pub fn core_share(&self) -> u16 {
        inner::core_share(&self.shared)
    }

    /// Returns who decides for the zone.
    pub fn keeping(&self) -> Keeping {
        self.inner.borrow().keeping
    }

    /// Returns how many entries are known, this one included.
    pub fn entry_count(&self) -> usize {
        self.inner.borrow().members.count()
    }

    /// Returns whether no other entry is known.
    pub fn is_alone(&self) -> bool {
        self.inner.borrow().members.count() == 1
    }

    /// Notes that another entry did not answer, and whether it was silent rather than refused.
    pub fn peer_failed(&self, entry: &name::Entry, is_silent: bool) {
        let now = self.now();
        self.inner.borrow_mut().members.failed(now, entry, is_silent);
    }

    /// Returns whether another entry is told in brief.
    pub fn is_brief(&self, entry: &name::Entry) -> bool {
        let now = self.now();
        self.inner.borrow().members.is_brief(now, entry)
    }

    /// Returns what this entry says of itself.
    pub fn state(&self) -> State {
        let now = self.now();
        self.inner.borrow().state(now, &self.shared)
    }

    /// Takes in what another entry says of itself, and returns what it is told.
    pub fn handle_state(&self, state: State) -> Reply {
        let now = self.now();
        let reply = self.inner.borrow_mut().handle_state(now, &self.shared, state);
        self.notify_newer_document();
        reply
    }

    /// Takes in another entry's answer.
    pub fn handle_reply(&self, reply: Reply) {
        let now = self.now();
        self.inner.borrow_mut().handle_reply(now, &self.shared, reply);
        self.notify_newer_document();
    }

    /// Works out shares and figures anew; called several times a second.
    pub fn tick(&self) {
        let now = self.now();
        self.inner.borrow_mut().tick(now, &self.shared);
    }

    /// Notes whether this entry holds the duties, and what it tells of their lease.
    pub fn set_duties(&self, held: bool, word: Option<Word>) {
        let mut inner = self.inner.borrow_mut();
        inner.holds_duties = held;
        inner.lease_notice = word;
        self.shared.metrics.holder.set(i64::from(held));
    }

    /// Returns what another entry said of the duties' lease since the last call, as of now.
    pub fn take_lease_notice(&self) -> Option<Word> {
        let now = self.now();
        let (word, at) = self.inner.borrow_mut().peer_lease_notice.take()?;
        Some(word.after(now.since(at)))
    }

    /// Returns whether another entry said lately that the store answers it.
    pub fn others_reach_store(&self) -> bool {
        let now = self.now();
        self.inner.borrow().others_reach_store(now)
    }

    /// Returns whether another entry said lately that it holds the duties.
    pub fn is_held_elsewhere(&self) -> bool {
        let now = self.now();
        self.inner.borrow().is_held_elsewhere(now)
    }

    /// Returns whether so many entries take part that news of all of them take seconds.
    pub fn is_large(&self) -> bool {
        self.inner.borrow().members.is_large()
    }

    /// Returns the requests of a window, over all entries.
    pub fn usage(&self, window: u64) -> BTreeMap<name::Organisation, u64> {
        let inner = self.inner.borrow();
        let mut sum = self.shared.tally.windows().remove(&window).unwrap_or_default();
        let others = inner.peer_usage.values().filter_map(|windows| windows.get(&window));
        for (organisation, count) in others.flatten() {
            *sum.entry(organisation.clone()).or_default() += count;
        }
        sum
    }

    /// Returns the prompt tokens a second that callers of a service ask all entries to have read.
    pub fn prompt_demand(&self, service: &name::Service) -> f64 {
        let now = self.now();
        self.inner.borrow().prompt_demand(now, service)
    }

    /// Returns the endpoints that take work.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        let inner = self.inner.borrow();
        let taking = inner.directory.endpoints().filter(|endpoint| !endpoint.is_leaving());
        taking.cloned().collect()
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}
