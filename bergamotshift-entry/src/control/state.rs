//! What the control thread knows and how it folds messages.

use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_config::accept::record::Mark;
use bergamotshift_config::accept::record::Version;
use bergamotshift_config::config::Config;
use bergamotshift_config::config::Retry;
use bergamotshift_core::load;
use bergamotshift_core::prelude::*;
use bergamotshift_core::vm;
use bergamotshift_core::vm::Listing;
use bergamotshift_core::vm::Role;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::call::Target;
use bergamotshift_fleet::mark;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::quarantine::Death;
use bergamotshift_limit::quarantine::Quarantine;
use bergamotshift_limit::retry;
use bergamotshift_route::set::Set;
use slog::info;
use slog::warn;
use smol_str::SmolStr;

use super::Message;
use super::Request;
use super::Sender;
use super::Verdict;
use super::fleet::Fleet;
use crate::admin::status;
use crate::admin::status::Status;
use crate::observe::metrics::Census;
use crate::sharing;
use crate::snapshot;
use crate::snapshot::Endpoint;
use crate::snapshot::Snapshot;
use crate::watch;
use crate::watch::Event;
use crate::watch::Waiting;
use crate::worker::Shared;

/// How soon the next snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    /// Nothing changed.
    Never,
    /// Readings changed; the next tick will do.
    Tick,
    /// Callers would be sent to the wrong place.
    Now,
}

/// Everything the control thread knows.
#[derive(Debug)]
pub struct State {
    pub(super) shared: Arc<Shared>,
    sender: Sender,
    adapters: BTreeMap<SmolStr, Rc<dyn Adapter>>,
    config: Arc<Config>,
    /// The accepted version in force; none when the configuration was given to the process.
    version: Option<Version>,
    pub(super) fleet: Fleet,
    pub(super) quarantine: Quarantine,
    /// The endpoints that this entry watches for the others.
    pub(super) watched: BTreeSet<bergamotshift_fleet::endpoint::Id>,
    sharing: sharing::Control,
    budgets: BTreeMap<name::Service, (Retry, Arc<retry::Budget>)>,
    census: Census,
    number: u64,
    due: Due,
}

impl State {
    /// Makes the state of an entry that has published `first`, and knows no endpoints yet.
    pub fn new(shared: Arc<Shared>, adapters: BTreeMap<SmolStr, Rc<dyn Adapter>>, config: Arc<Config>) -> Self {
        let mut fleet = Fleet::default();
        fleet.configure(&config, shared.settings.endpoints.tls.is_some());
        let quarantine = Quarantine::new(shared.settings.quarantine);
        let sender = shared.control.clone();
        Self {
            shared,
            sender,
            adapters,
            config,
            version: None,
            fleet,
            quarantine,
            sharing: sharing::Control::new(Vec::new()),
            watched: BTreeSet::new(),
            budgets: BTreeMap::new(),
            census: Census::new(),
            number: 0,
            due: Due::Now,
        }
    }

    /// Folds one message; returns whether the entry goes on.
    pub(super) fn take(&mut self, message: Message) -> bool {
        self.shared.metrics.message(message.kind());
        match message {
            Message::Request(Request::Broken {
                endpoint,
                connected,
                fingerprint,
                answer,
            }) => self.broken(endpoint, connected, Waiting { fingerprint, answer }),
            Message::Request(Request::Status(answer)) => drop(answer.send(self.status())),
            Message::Request(Request::Stop) => return false,
            Message::Seen(Event::Tick) => self.tick(),
            Message::Seen(Event::Configured { mark, config }) => self.configure(mark, config),
            Message::Seen(Event::Listed(listings)) => self.all_listed(&listings),
            Message::Seen(Event::Noticed(notices)) => self.all_noticed(&notices),
            Message::Told(event) => self.told(event),
            Message::Seen(Event::Probed {
                endpoint,
                report,
                waiting,
            }) => self.probed(&endpoint, &report, waiting),
        }
        true
    }

    /// Publishes a snapshot when one is due.
    pub(super) fn publish(&mut self) {
        if self.due == Due::Now {
            self.publish_now();
        }
    }

    /// Publishes a snapshot.
    pub(crate) fn publish_now(&mut self) {
        self.due = Due::Never;
        self.number += 1;
        let services = self.services();
        let zones = self.organisation_zones();
        let snapshot = Snapshot {
            number: self.number,
            config: Arc::clone(&self.config),
            view: self.fleet.registry.publish(self.shared.now()),
            endpoints: self.fleet.endpoints(),
            services,
            zones,
            quarantine: self.quarantine.table(),
            sharing: self.sharing.follow(self.shared.now(), &self.config),
            ready: self.is_configured(),
        };
        self.shared.publisher.publish(snapshot);
        self.shared.metrics.snapshots.inc();
        self.count();
    }

    /// Counts the time that the messages of one turn took.
    pub(super) fn turned(&self, time: Duration) {
        self.shared.metrics.turn.observe(time);
    }

    /// Brings the metrics in line with what was published.
    fn count(&mut self) {
        let metrics = &self.shared.metrics;
        let quarantined = self.shared.publisher.current().quarantine.len();
        metrics.quarantined.set(quarantined as i64);
        metrics.config.set(self.version.map_or(0, Version::get) as i64);
        let census = self.fleet.census();
        metrics.count_endpoints(&self.census, &census);
        self.census = census;
    }

    /// Puts a configuration version in force; requests under way keep the one they began with.
    fn configure(&mut self, mark: Mark, config: Arc<Config>) {
        self.config = config;
        self.version = Some(mark.version);
        let tls = self.shared.settings.endpoints.tls.is_some();
        self.fleet.configure(&self.config, tls);
        self.due(Due::Now);
    }

    /// Takes what the platform says of one VM.
    pub(super) fn listed(&mut self, vm: &Listing) {
        match &vm.role {
            Role::Endpoint(service) => {
                let endpoint = Endpoint {
                    vm: vm.name.clone(),
                    incarnation: vm.incarnation,
                    zone: vm.zone.clone(),
                    service: service.clone(),
                    target: Target::new(vm.address, self.shared.settings.endpoints.tls.is_some()),
                    seat: sharing::Seat::default(),
                };
                self.listed_endpoint(vm, &endpoint);
            }
            Role::Entry => self.listed_entry(vm),
        }
    }

    fn listed_endpoint(&mut self, vm: &Listing, endpoint: &Endpoint) {
        if !self.config.services.contains_key(&endpoint.service) {
            return;
        }
        let known = self.fleet.known.get(&vm.name).map(|known| known.endpoint.incarnation);
        if known.is_none_or(|known| known < vm.incarnation) {
            let listed = endpoint.clone();
            self.fleet.insert(&self.config, listed, vm.class.clone(), vm.market);
            self.due(Due::Now);
        }
        if vm.state != vm::State::Live && self.fleet.leave(endpoint) {
            info!(self.shared.settings.logger, "endpoint is leaving"; endpoint);
            self.announced(endpoint);
            self.due(Due::Now);
        }
    }

    /// Drains this entry when its own VM is leaving: the balancer sends no new callers then.
    fn listed_entry(&self, vm: &Listing) {
        let own = vm.name.as_str() == self.shared.settings.name.as_str();
        if own && vm.state != vm::State::Live && !self.shared.draining.swap(true, Ordering::AcqRel) {
            info!(self.shared.settings.logger, "this entry's VM is leaving");
        }
    }

    /// Returns whether there is a configuration to serve by.
    ///
    /// Failure: a fresh entry is sent callers before it knows any organisation. Symptom: 401 for everybody. It is not
    /// ready until it was given a configuration or has learnt the accepted one.
    fn is_configured(&self) -> bool {
        self.version.is_some() || !self.shared.settings.follows()
    }

    pub(super) fn due(&mut self, due: Due) {
        self.due = self.due.max(due);
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        let interval = self.shared.settings.watch.reports;
        let mut asked = Vec::new();
        let others = self.left_to_others();
        for known in self.fleet.known.values_mut() {
            if !known.asked && known.due <= now && !others.contains(&known.endpoint.vm) {
                known.asked = true;
                known.due = now + interval;
                asked.push(Arc::clone(&known.endpoint));
            }
        }
        for endpoint in asked {
            self.ask(endpoint, None);
        }
        if self.due == Due::Tick {
            self.publish_now();
        }
        self.sharing.tick(now, &self.shared.publisher.current());
    }

    /// Asks an endpoint for its load.
    fn ask(&self, endpoint: Arc<Endpoint>, waiting: Option<Waiting>) {
        let adapter = self
            .config
            .services
            .get(&endpoint.service)
            .and_then(|service| self.adapters.get(&service.adapter));
        let Some(adapter) = adapter else { return };
        ntex::rt::spawn(watch::probe(Rc::clone(adapter), endpoint, waiting, self.sender.clone())).detach();
    }

    /// Finds out what became of an endpoint whose attempt broke.
    ///
    /// A broken attempt alone does not say whether the endpoint died: it may have cut this one exchange. Asking it
    /// again tells, and only a death counts against the work that ran there.
    fn broken(&mut self, endpoint: Arc<Endpoint>, connected: bool, waiting: Waiting) {
        let announced = self.fleet.find(&endpoint).is_some_and(|known| known.leaving);
        if announced {
            let _ = waiting.answer.send(Verdict { announced, dead: false });
            return;
        }
        if connected {
            let finished = self.finished(&endpoint);
            if self.fleet.fault(&endpoint, finished, self.shared.now()) {
                warn!(self.shared.settings.logger, "endpoint is suspended"; &*endpoint);
                self.due(Due::Now);
            }
            self.ask(endpoint, Some(waiting));
            return;
        }
        self.died(&endpoint, None);
        // The snapshot goes first, so that the worker's next choice already knows.
        self.publish();
        let _ = waiting.answer.send(Verdict { announced, dead: true });
    }

    fn probed(&mut self, endpoint: &Arc<Endpoint>, report: &Result<load::Report, Failure>, waiting: Option<Waiting>) {
        let (fingerprint, answer) = match waiting {
            Some(waiting) => (Some(waiting.fingerprint), Some(waiting.answer)),
            None => (None, None),
        };
        if let Some(known) = self.fleet.find(endpoint) {
            known.asked = false;
        }
        let dead = matches!(report, Err(Failure::Connect(_)));
        match report {
            Ok(report) => self.reported(endpoint, *report),
            Err(Failure::Connect(_)) => self.died(endpoint, fingerprint),
            // Something answers there, if only to say that it gives no reports.
            Err(Failure::Malformed(_) | Failure::Mismatch) => self.regain(endpoint),
            // It takes connections and answers nothing: it is not dead, and of no use until it answers again.
            Err(_) => {
                if self.fleet.lose(endpoint) {
                    warn!(self.shared.settings.logger, "endpoint does not answer"; &**endpoint);
                    self.due(Due::Now);
                }
            }
        }
        self.publish();
        if let Some(answer) = answer {
            let announced = self.fleet.find(endpoint).is_some_and(|known| known.leaving);
            let _ = answer.send(Verdict { announced, dead });
        }
    }

    fn reported(&mut self, endpoint: &Endpoint, report: load::Report) {
        if report.leaving && self.fleet.leave(endpoint) {
            info!(self.shared.settings.logger, "endpoint says that it leaves"; endpoint);
            self.announced(endpoint);
            self.tell_leaving(endpoint, mark::Source::Endpoint, None);
            self.due(Due::Now);
        }
        self.tell_load(endpoint, report);
        self.regain(endpoint);
        let key = self.fleet.find(endpoint).and_then(|known| known.key);
        if let Some(key) = key {
            let _ = self.fleet.registry.report(key, report, self.shared.now());
            self.due(Due::Tick);
        }
    }

    fn regain(&mut self, endpoint: &Endpoint) {
        if self.fleet.regain(&self.config, endpoint, self.shared.now()) {
            info!(self.shared.settings.logger, "endpoint is reached again"; endpoint);
            self.due(Due::Now);
        }
    }

    /// Returns how many attempts of this entry have ended at an endpoint.
    fn finished(&mut self, endpoint: &Endpoint) -> u32 {
        let key = self.fleet.find(endpoint).and_then(|known| known.key);
        let snapshot = self.shared.publisher.current();
        let row = key.and_then(|key| snapshot.view.find(key));
        row.map_or(0, |row| row.counter().mark().finished)
    }

    pub(super) fn announced(&mut self, endpoint: &Endpoint) {
        let victim = self.fleet.find(endpoint).map(|known| known.victim());
        if let Some(victim) = victim {
            self.quarantine.announce(self.shared.now(), victim);
        }
    }

    /// Notes that nothing listens at an endpoint, and looks whether its neighbours are still there.
    ///
    /// Failure: a zone is lost at once and each of its requests is next to a death. Symptom: innocent requests are
    /// suspected. Neighbours that died too show a common cause, so they are asked before anybody is refused.
    fn died(&mut self, endpoint: &Endpoint, fingerprint: Option<Fingerprint>) {
        let Some(known) = self.fleet.find(endpoint) else { return };
        let death = Death {
            victim: known.victim(),
            announced: known.leaving,
            running: fingerprint.into_iter().collect(),
        };
        let news = self.fleet.lose(endpoint);
        if !news && death.running.is_empty() {
            return;
        }
        self.quarantine.died(self.shared.now(), death);
        self.tell_suspicion(endpoint, fingerprint);
        self.share_suspicions();
        self.due(Due::Now);
        if !news {
            return;
        }
        warn!(self.shared.settings.logger, "endpoint cannot be reached"; endpoint);
        let now = self.shared.now();
        for neighbour in self.fleet.known.values_mut() {
            if neighbour.endpoint.zone == endpoint.zone && neighbour.key.is_some() {
                neighbour.due = now;
            }
        }
    }

    /// Logs what follows from a death for the work that ran there.
    fn tell_suspicion(&self, endpoint: &Endpoint, fingerprint: Option<Fingerprint>) {
        let Some(fingerprint) = fingerprint else { return };
        let logger = &self.shared.settings.logger;
        let work = format!("{:032x}", fingerprint.get());
        match self.quarantine.table().verdict(self.shared.now(), fingerprint) {
            quarantine::Verdict::Clear => {}
            quarantine::Verdict::Alone => {
                warn!(logger, "request is suspected of killing its endpoint"; "fingerprint" => work, endpoint);
            }
            quarantine::Verdict::Refused { retry_after } => {
                let seconds = retry_after.as_secs();
                warn!(logger, "request is quarantined"; "fingerprint" => work, "for_s" => seconds, endpoint);
            }
        }
    }

    fn services(&mut self) -> BTreeMap<name::Service, snapshot::Service> {
        let config = Arc::clone(&self.config);
        let zones: Vec<_> = config.zones.keys().collect();
        let mut services = BTreeMap::new();
        for (name, service) in &config.services {
            let registry = &mut self.fleet.registry;
            let Ok(number) = registry.service(name) else { continue };
            let allowed = zones
                .iter()
                .filter(|zone| service.zones.is_empty() || service.zones.contains(zone))
                .filter_map(|zone| registry.zone(zone).ok())
                .fold(Set::EMPTY, |set, zone| set.with(zone.number()));
            let classes = service
                .classes
                .iter()
                .filter_map(|class| registry.class(class).ok())
                .fold(Set::EMPTY, |set, class| set.with(class.number()));
            services.insert(
                name.clone(),
                snapshot::Service {
                    number,
                    zones: allowed,
                    classes: if service.classes.is_empty() { Set::ALL } else { classes },
                    adapter: service.adapter.clone(),
                    budget: self.budget(name, service.retry),
                    metrics: self.shared.metrics.service(name),
                    retry: retry::Policy {
                        attempts: service.retry.attempts,
                        ..retry::Policy::default()
                    },
                },
            );
        }
        services
    }

    /// Returns a service's budget, which stays the same until its rule changes.
    fn budget(&mut self, name: &name::Service, rule: Retry) -> Arc<retry::Budget> {
        if let Some((known, budget)) = self.budgets.get(name)
            && *known == rule
        {
            return Arc::clone(budget);
        }
        let settings = retry::Settings {
            ratio: rule.budget,
            ..retry::Settings::default()
        };
        let budget = Arc::new(retry::Budget::new(settings));
        self.budgets.insert(name.clone(), (rule, Arc::clone(&budget)));
        budget
    }

    fn organisation_zones(&mut self) -> BTreeMap<name::Organisation, Set> {
        let config = Arc::clone(&self.config);
        let registry = &mut self.fleet.registry;
        let restricted = config
            .organisations
            .values()
            .filter(|organisation| !organisation.zones.is_empty());
        restricted
            .map(|organisation| {
                let zones = organisation.zones.iter().filter_map(|zone| registry.zone(zone).ok());
                let set = zones.fold(Set::EMPTY, |set, zone| set.with(zone.number()));
                (organisation.name.clone(), set)
            })
            .collect()
    }

    fn status(&self) -> Status {
        let snapshot = self.shared.publisher.current();
        let in_flight = |key: Option<key::Endpoint>| {
            key.and_then(|key| snapshot.view.find(key))
                .map_or(0, |row| row.counter().in_flight())
        };
        let endpoints = self.fleet.known.values().map(|known| status::Endpoint {
            vm: known.endpoint.vm.clone(),
            incarnation: known.endpoint.incarnation,
            service: known.endpoint.service.clone(),
            zone: known.endpoint.zone.clone(),
            leaving: known.leaving,
            reachable: known.key.is_some(),
            in_flight: in_flight(known.key),
        });
        Status::of(&self.shared, self.version, endpoints.collect())
    }
}
