//! What the control thread knows, and the pictures that it publishes from that.

use core::cell::RefCell;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::quarantine::Quarantine;
use bergamotshift_limit::retry;
use bergamotshift_limit::retry::Budget;
use rand::Rng;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::document::Document;
use crate::duty::Windows;
use crate::endpoint::Directory;
use crate::endpoint::Endpoint;
use crate::endpoint::Event;
use crate::limits::Account;
use crate::limits::Demand;
use crate::limits::Share;
use crate::limits::Timing;
use crate::observe::Topic;
use crate::peers::Flown;
use crate::peers::Members;
use crate::peers::Reply;
use crate::peers::State;
use crate::peers::Use;
use crate::random;
use crate::routes::Table;
use crate::view::Service;
use crate::view::Shared;
use crate::view::View;

/// How long what another entry said of its work under way counts; older figures say nothing of now.
const FLOWN: Duration = Duration::from_millis(1_500);

/// How long the registrations may be unread until the other entries are asked for theirs.
const STALE: Duration = Duration::from_millis(1_500);

/// How many windows of usage are kept of other entries.
const WINDOWS: u64 = 6;

/// The part of the units beyond a limit that entries deal out; the rest covers requests that overdraw their share.
const SLACK_USED: f64 = 0.4;

/// A question of another entry, with the way back of its answer.
#[derive(Debug)]
pub struct Question {
    /// What the other entry says of itself.
    pub state: State,
    /// Gets the answer.
    pub reply: oneshot::Sender<Reply>,
}

#[derive(Debug, Default)]
struct Organisation {
    account: Arc<Account>,
    share: Share,
    demand: Demand,
    fraction: f64,
}

#[derive(Debug)]
struct Inner {
    document: Arc<Document>,
    directory: Directory,
    /// When the registrations were last read, or found unchanged.
    read: Option<Instant>,
    organisations: BTreeMap<name::Organisation, Organisation>,
    budgets: BTreeMap<name::Service, Arc<Budget>>,
    members: Members,
    quarantine: Quarantine,
    counted: BTreeMap<(name::Entry, u64), Windows>,
    ticked: Instant,
    life: u64,
}

/// What the control thread knows; clones share it.
#[derive(Clone, Debug)]
pub struct Control {
    shared: Arc<Shared>,
    inner: Rc<RefCell<Inner>>,
    questions: mpsc::UnboundedSender<Question>,
    inbox: Rc<RefCell<Option<mpsc::UnboundedReceiver<Question>>>>,
}

impl Control {
    /// Makes a control that knows nothing yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        let (questions, inbox) = mpsc::unbounded_channel();
        let inner = Inner {
            document: Arc::default(),
            directory: Directory::default(),
            read: None,
            organisations: BTreeMap::new(),
            budgets: BTreeMap::new(),
            members: Members::new(shared.settings.name.clone()),
            quarantine: Quarantine::new(quarantine::Settings::default()),
            counted: BTreeMap::new(),
            ticked: shared.clock.now(),
            life: random::generator().next_u64(),
        };
        Self {
            shared,
            inner: Rc::new(RefCell::new(inner)),
            questions,
            inbox: Rc::new(RefCell::new(Some(inbox))),
        }
    }

    /// Returns what the threads share.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns where questions of other entries go.
    pub fn exchange(&self) -> mpsc::UnboundedSender<Question> {
        self.questions.clone()
    }

    /// Returns the questions of other entries; `None` from the second call on.
    pub fn take_inbox(&self) -> Option<mpsc::UnboundedReceiver<Question>> {
        self.inbox.borrow_mut().take()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.inner.borrow().document)
    }

    /// Puts a document in force if it is newer than the one that is; returns whether it is.
    pub fn put_document(&self, document: Document, from: &str) -> bool {
        let mut inner = self.inner.borrow_mut();
        if document.version <= inner.document.version {
            return false;
        }
        info!(self.shared.log.always(), "document in force"; "version" => document.version,
            "before" => inner.document.version, "from" => from, "routes" => document.routes.len(),
            "organisations" => document.organisations.len());
        self.shared
            .metrics
            .document
            .set(i64::try_from(document.version).unwrap_or(i64::MAX));
        inner.document = Arc::new(document);
        let now = self.shared.clock.now();
        inner.deal(now, &self.shared);
        inner.publish(&self.shared);
        true
    }

    /// Takes in what the store tells of registrations.
    pub fn on_registrations(&self, event: Event, from: &str) {
        let now = self.shared.clock.now();
        let mut inner = self.inner.borrow_mut();
        if event != Event::Lost {
            inner.read = Some(now);
        }
        inner.on_endpoints(now, &self.shared, event, from);
    }

    /// Takes in that an endpoint broke off a request.
    pub fn on_death(&self, endpoint: u64, fingerprint: Fingerprint) {
        let now = self.shared.clock.now();
        let mut inner = self.inner.borrow_mut();
        let Some(victim) = inner.directory.by_hash(endpoint).map(|endpoint| victim(endpoint)) else {
            return;
        };
        let death = quarantine::Death {
            victim,
            announced: false,
            running: vec![fingerprint],
        };
        inner.quarantine.died(now, death);
        inner.publish(&self.shared);
    }

    /// Notes that somebody names another entry.
    pub fn named(&self, entry: &name::Entry, address: core::net::SocketAddr) {
        let now = self.shared.clock.now();
        self.inner.borrow_mut().members.named(now, entry, address);
    }

    /// Returns whom to ask now.
    pub fn due(&self, most: usize) -> Vec<(name::Entry, core::net::SocketAddr)> {
        let now = self.shared.clock.now();
        self.inner.borrow_mut().members.due(now, most)
    }

    /// Returns whether no other entry is known.
    pub fn is_alone(&self) -> bool {
        self.inner.borrow().members.count() == 1
    }

    /// Notes that another entry did not answer.
    pub fn peer_failed(&self, entry: &name::Entry) {
        let now = self.shared.clock.now();
        self.inner.borrow_mut().members.failed(now, entry);
    }

    /// Returns what this entry says of itself.
    pub fn state(&self) -> State {
        let now = self.shared.clock.now();
        self.inner.borrow().state(now, &self.shared)
    }

    /// Takes in what another entry says of itself, and returns what it is told.
    pub fn asked(&self, state: State) -> Reply {
        let now = self.shared.clock.now();
        let (version, wants_endpoints) = (state.document, state.wants_endpoints);
        let mut inner = self.inner.borrow_mut();
        inner.heard(now, &self.shared, state);
        let newer = inner.document.version > version;
        Reply {
            state: inner.state(now, &self.shared),
            document: newer.then(|| Document::clone(&inner.document)),
            endpoints: if wants_endpoints && !inner.is_stale(now) {
                inner.directory.registrations()
            } else {
                Vec::new()
            },
        }
    }

    /// Takes in another entry's answer.
    pub fn answered(&self, reply: Reply) {
        let now = self.shared.clock.now();
        let from = reply.state.entry.clone();
        {
            let mut inner = self.inner.borrow_mut();
            inner.heard(now, &self.shared, reply.state);
            if !reply.endpoints.is_empty() && inner.is_stale(now) {
                inner.on_endpoints(now, &self.shared, Event::Relayed(reply.endpoints), from.as_str());
            }
        }
        if let Some(document) = reply.document {
            self.put_document(document, from.as_str());
        }
    }

    /// Works out shares and figures anew; called several times a second.
    pub fn tick(&self) {
        let now = self.shared.clock.now();
        let mut inner = self.inner.borrow_mut();
        inner.tick(now, &self.shared);
    }

    /// Returns the requests of a window, over all entries.
    pub fn usage(&self, window: u64) -> BTreeMap<name::Organisation, u64> {
        let inner = self.inner.borrow();
        let mut sum = self.shared.tally.windows().remove(&window).unwrap_or_default();
        let others = inner.counted.values().filter_map(|windows| windows.get(&window));
        for (organisation, count) in others.flatten() {
            *sum.entry(organisation.clone()).or_default() += count;
        }
        sum
    }

    /// Returns the endpoints that take work.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        let inner = self.inner.borrow();
        inner
            .directory
            .endpoints()
            .filter(|endpoint| !endpoint.is_leaving())
            .cloned()
            .collect()
    }
}

impl Inner {
    fn is_stale(&self, now: Instant) -> bool {
        self.read.is_none_or(|read| now.since(read) >= STALE)
    }

    fn on_endpoints(&mut self, now: Instant, shared: &Shared, event: Event, from: &str) {
        let before = self.directory.endpoints().count();
        let leaving = self.directory.on(now, event);
        for endpoint in &leaving {
            self.quarantine.announce(now, victim(endpoint));
            if let Some((logger, left_out)) = shared.log.room(now, Topic::Belief) {
                info!(logger, "endpoint leaves"; "endpoint" => endpoint.registration.id.as_str(),
                    "service" => endpoint.registration.service.as_str(),
                    "zone" => endpoint.registration.zone.as_str(), "from" => from, "left_out" => left_out);
            }
        }
        let after = self.directory.endpoints().count();
        if before != after
            && let Some((logger, left_out)) = shared.log.room(now, Topic::Belief)
        {
            info!(logger, "endpoints changed"; "before" => before, "after" => after, "from" => from,
                "left_out" => left_out);
        }
        if before != after || !leaving.is_empty() || !shared.view.load().knows_endpoints {
            self.publish(shared);
        }
    }

    fn heard(&mut self, now: Instant, shared: &Shared, state: State) {
        if state.entry == shared.settings.name {
            return;
        }
        for (entry, address) in &state.members {
            self.members.named(now, entry, *address);
        }
        for used in &state.uses {
            if let Some(organisation) = self.organisations.get_mut(&used.organisation) {
                organisation.share.heard(now, &state.entry, used.demand, used.share);
            }
        }
        let mut news = false;
        for hash in &state.leaving {
            news |= self.directory.by_hash(*hash).is_some_and(|endpoint| endpoint.leave());
        }
        if !state.suspicions.is_empty() {
            self.quarantine.merge(now, &state.suspicions);
            news = true;
        }
        let counted = self.counted.entry((state.entry.clone(), state.life)).or_default();
        for (window, counts) in &state.windows {
            counted.insert(*window, counts.clone());
        }
        let entry = state.entry.clone();
        if self.members.heard(now, state) {
            info!(shared.log.always(), "entry heard"; "entry" => entry.as_str(), "members" => self.members.count());
        }
        if news {
            self.publish(shared);
        }
    }

    fn state(&self, now: Instant, shared: &Shared) -> State {
        let uses = self.organisations.iter().map(|(name, organisation)| Use {
            organisation: name.clone(),
            demand: organisation.demand.get(),
            share: organisation.fraction,
        });
        let flown = self.directory.endpoints().map(|endpoint| Flown {
            endpoint: endpoint.hash,
            running: endpoint.own.running.load(Relaxed),
            unread: endpoint.own.unread.load(Relaxed),
        });
        let leaving = self.directory.endpoints().filter(|endpoint| endpoint.is_leaving());
        State {
            entry: shared.settings.name.clone(),
            life: self.life,
            address: shared.settings.listen.peers,
            document: self.document.version,
            wants_endpoints: self.is_stale(now),
            uses: uses.collect(),
            flown: flown.filter(|flown| flown.running > 0).collect(),
            leaving: leaving.map(|endpoint| endpoint.hash).collect(),
            windows: shared.tally.windows(),
            suspicions: self.quarantine.suspicions(now),
            members: self
                .members
                .peers()
                .map(|(entry, peer)| (entry.clone(), peer.address))
                .collect(),
        }
    }

    fn tick(&mut self, now: Instant, shared: &Shared) {
        let span = now.since(self.ticked);
        self.ticked = now;
        let timing = Timing::default();
        for organisation in self.organisations.values_mut() {
            organisation
                .demand
                .note(&timing, organisation.account.take_asked(), span);
        }
        for entry in self.members.expire(now) {
            info!(shared.log.always(), "entry forgotten"; "entry" => entry.as_str());
            for organisation in self.organisations.values_mut() {
                organisation.share.forget(&entry);
            }
        }
        self.deal(now, shared);
        self.sum_flown(now);
        let oldest = shared.tally.current().saturating_sub(WINDOWS);
        self.counted.retain(|_, windows| {
            windows.retain(|window, _| *window >= oldest);
            !windows.is_empty()
        });
        let heard = self
            .members
            .peers()
            .filter(|(_, peer)| peer.was_heard(now, FLOWN))
            .count();
        shared.metrics.peers.set(heard as i64);
        self.quarantine.expire(now);
    }

    /// Works out this entry's part of each limit.
    fn deal(&mut self, now: Instant, shared: &Shared) {
        let timing = Timing::default();
        let members = self.members.count();
        let document = Arc::clone(&self.document);
        for declared in &document.organisations {
            let organisation = self.organisations.entry(declared.name.clone()).or_default();
            let demand = organisation.demand;
            let fraction = organisation.share.next(now, &timing, demand, members);
            organisation.fraction = fraction;
            let slack = shared.settings.limit.slack * SLACK_USED;
            let part = declared.limit.filter(|limit| limit.rate > 0.0).map(|limit| {
                let burst = (limit.burst + slack) * fraction;
                (limit.rate * fraction, burst)
            });
            organisation.account.set(now, part);
        }
    }

    /// Sums up what the other entries have under way at each endpoint.
    fn sum_flown(&self, now: Instant) {
        let mut sums: HashMap<u64, (u32, u64)> = HashMap::new();
        for (_, peer) in self.members.peers().filter(|(_, peer)| peer.was_heard(now, FLOWN)) {
            let Some((_, state)) = &peer.said else { continue };
            for flown in &state.flown {
                let sum = sums.entry(flown.endpoint).or_default();
                sum.0 += flown.running;
                sum.1 += flown.unread;
            }
        }
        for endpoint in self.directory.endpoints() {
            let (running, unread) = sums.get(&endpoint.hash).copied().unwrap_or_default();
            endpoint.others.set(running, unread);
        }
    }

    fn publish(&mut self, shared: &Shared) {
        let mut endpoints: HashMap<name::Service, Vec<Arc<Endpoint>>> = HashMap::new();
        for endpoint in self.directory.endpoints() {
            let service = endpoint.registration.service.clone();
            endpoints.entry(service).or_default().push(Arc::clone(endpoint));
        }
        let open = endpoints
            .values()
            .flatten()
            .filter(|endpoint| !endpoint.is_leaving())
            .count();
        shared.metrics.endpoints.set(open as i64);
        let document = Arc::clone(&self.document);
        let mut services = HashMap::new();
        for service in &document.services {
            let budget = self.budgets.entry(service.name.clone());
            let budget = budget.or_insert_with(|| Arc::new(Budget::new(budget_settings(shared))));
            let picture = Service {
                endpoints: endpoints.remove(&service.name).unwrap_or_default().into(),
                engine: service.engine.is_some(),
                budget: Arc::clone(budget),
            };
            services.insert(service.name.clone(), picture);
        }
        let accounts = self.organisations.iter();
        let view = View {
            table: (document.version > 0).then(|| Table::new(Arc::clone(&document))),
            services,
            accounts: accounts
                .map(|(name, one)| (name.clone(), Arc::clone(&one.account)))
                .collect(),
            suspects: self.quarantine.table(),
            knows_endpoints: self.directory.endpoints().next().is_some(),
        };
        shared.view.store(Arc::new(view));
    }
}

/// Returns this entry's part of what repeated sends may add to a service.
///
/// The slack is shared evenly by the largest number of entries that a small site has; the ratio holds by itself, as
/// each entry counts its own requests.
fn budget_settings(shared: &Shared) -> retry::Settings {
    const ENTRIES: f64 = 12.0;
    const RATIO_USED: f64 = 0.75;
    let slack = (shared.settings.retry.slack / ENTRIES).max(1.0) as u32;
    retry::Settings {
        ratio: shared.settings.retry.ratio * RATIO_USED,
        reserve: slack,
        burst: slack,
    }
}

fn victim(endpoint: &Endpoint) -> quarantine::Victim {
    quarantine::Victim::new(name::Vm::new(&endpoint.registration.id), Incarnation::default())
}
