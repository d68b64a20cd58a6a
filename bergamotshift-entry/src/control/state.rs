//! What the control thread knows and how it folds messages.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_config::accept::record::Revision;
use bergamotshift_config::accept::record::Version;
use bergamotshift_config::config::Config;
use bergamotshift_config::config::Retry;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_limit::quarantine::Quarantine;
use bergamotshift_limit::retry;
use smol_str::SmolStr;

use super::Message;
use super::Request;
use super::Sender;
use super::fleet::Fleet;
use crate::admin::status;
use crate::admin::status::Status;
use crate::observe::metrics::Census;
use crate::sharing;
use crate::snapshot::Endpoint;
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
    pub(super) config: Arc<Config>,
    /// The accepted version in force; none when the configuration was given to the process.
    pub(super) version: Option<Version>,
    pub(super) fleet: Fleet,
    pub(super) quarantine: Quarantine,
    /// The endpoints that this entry watches for the others.
    pub(super) watched: BTreeSet<bergamotshift_fleet::endpoint::Id>,
    pub(super) sharing: sharing::Control,
    pub(super) budgets: BTreeMap<name::Service, (Retry, Arc<retry::Budget>)>,
    pub(super) census: Census,
    pub(super) number: u64,
    pub(super) due: Due,
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
            Message::Request(Request::AttemptFailed {
                endpoint,
                connected,
                fingerprint,
                answer,
            }) => self.broken(endpoint, connected, Waiting { fingerprint, answer }),
            Message::Request(Request::Status(answer)) => {
                // A status tells what is published; messages of the same turn may have changed more than that.
                self.publish();
                drop(answer.send(self.status()));
            }
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

    /// Counts the time that the messages of one turn took.
    pub(super) fn turned(&self, time: Duration) {
        self.shared.metrics.turn.observe(time);
    }

    /// Puts a configuration version in force; requests under way keep the one they began with.
    fn configure(&mut self, mark: Revision, config: Arc<Config>) {
        self.config = config;
        self.version = Some(mark.version);
        let tls = self.shared.settings.endpoints.tls.is_some();
        self.fleet.configure(&self.config, tls);
        self.due(Due::Now);
    }

    /// Returns whether there is a configuration to serve by.
    ///
    /// Failure: a fresh entry is sent callers before it knows any organisation. Symptom: 401 for everybody. It is not
    /// ready until it was given a configuration or has learnt the accepted one.
    pub(super) fn is_configured(&self) -> bool {
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
    pub(super) fn ask(&self, endpoint: Arc<Endpoint>, waiting: Option<Waiting>) {
        let adapter = self
            .config
            .services
            .get(&endpoint.service)
            .and_then(|service| self.adapters.get(&service.adapter));
        let Some(adapter) = adapter else { return };
        ntex::rt::spawn(watch::probe(Rc::clone(adapter), endpoint, waiting, self.sender.clone())).detach();
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
