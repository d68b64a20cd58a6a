//! State of the control thread, and dispatch of its messages.

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
use super::parts::Announcer;
use crate::admin::status;
use crate::admin::status::Status;
use crate::observe::metrics::Census;
use crate::sharing;
use crate::snapshot::Endpoint;
use crate::watch;
use crate::watch::Event;
use crate::watch::Waiter;
use crate::worker::Shared;

/// Urgency of the next snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    /// Nothing changed.
    Never,
    /// Only load reports changed; the snapshot is published at the next tick.
    Tick,
    /// Requests would be routed to the wrong endpoints; the snapshot is published after the queued messages.
    Now,
}

/// State of the control thread.
#[derive(Debug)]
pub struct State {
    pub(super) shared: Arc<Shared>,
    sender: Sender,
    adapters: BTreeMap<SmolStr, Rc<dyn Adapter>>,
    pub(super) config: Arc<Config>,
    /// Accepted configuration version in force; `None` before the first one, and if the configuration was given at the
    /// start of the process.
    pub(super) version: Option<Version>,
    pub(super) fleet: Fleet,
    pub(super) quarantine: Quarantine,
    /// Announcements of evidence on parts of prompts.
    pub(super) announcer: Announcer,
    /// Number of entries that the platform lists.
    pub(super) entry_count: usize,
    /// Endpoints whose load this entry probes for the other entries.
    pub(super) watched: BTreeSet<bergamotshift_fleet::endpoint::Id>,
    pub(super) sharing: sharing::Control,
    pub(super) budgets: BTreeMap<name::Service, (Retry, Arc<retry::Budget>)>,
    /// Endpoint counts that the metrics show.
    pub(super) census: Census,
    /// Number of the last published snapshot.
    pub(super) number: u64,
    pub(super) due: Due,
}

impl State {
    /// Creates a state that knows only the endpoints listed in the configuration.
    pub fn new(shared: Arc<Shared>, adapters: BTreeMap<SmolStr, Rc<dyn Adapter>>, config: Arc<Config>) -> Self {
        let mut fleet = Fleet::default();
        fleet.add_configured(&config, shared.settings.endpoints.tls.is_some());
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
            announcer: Announcer::default(),
            entry_count: 1,
            sharing: sharing::Control::new(Vec::new()),
            watched: BTreeSet::new(),
            budgets: BTreeMap::new(),
            census: Census::new(),
            number: 0,
            due: Due::Now,
        }
    }

    /// Handles a message; returns whether the control thread continues.
    pub(super) fn handle(&mut self, message: Message) -> bool {
        self.shared.metrics.message(message.kind());
        match message {
            Message::Request(Request::AttemptFailed {
                endpoint,
                connected,
                fingerprint,
                parts,
                answer,
            }) => {
                let waiter = Waiter {
                    fingerprint,
                    parts,
                    answer,
                };
                self.handle_failed_attempt(endpoint, connected, waiter);
            }
            Message::Request(Request::Status(answer)) => {
                // The status shows the published snapshot, so urgent changes by earlier messages are published first.
                self.publish();
                drop(answer.send(self.status()));
            }
            Message::Request(Request::Stop) => return false,
            Message::Watch(Event::Tick) => self.tick(),
            Message::Watch(Event::Configured { revision, config }) => self.configure(revision, config),
            Message::Watch(Event::Listed(listings)) => self.handle_list(&listings),
            Message::Watch(Event::Noticed(notices)) => self.handle_notices(&notices),
            Message::Peer(event) => self.handle_peer_event(event),
            Message::Watch(Event::Probed {
                endpoint,
                report,
                waiter,
            }) => self.handle_probe(&endpoint, &report, waiter),
        }
        true
    }

    /// Records the time spent on one batch of messages.
    pub(super) fn record_turn(&self, time: Duration) {
        self.shared.metrics.turn.observe(time);
    }

    /// Applies a configuration version; requests in flight keep the version they started with.
    fn configure(&mut self, revision: Revision, config: Arc<Config>) {
        self.config = config;
        self.version = Some(revision.version);
        let tls = self.shared.settings.endpoints.tls.is_some();
        self.fleet.add_configured(&self.config, tls);
        self.schedule(Due::Now);
    }

    /// Returns whether the entry has a configuration.
    ///
    /// A new entry that knows no organisation yet would answer every caller with 401. It is not ready until it has been
    /// started with a configuration or has received the accepted one.
    pub(super) fn is_configured(&self) -> bool {
        self.version.is_some() || !self.shared.settings.uses_platform_config()
    }

    /// Schedules a snapshot; the more urgent request wins.
    pub(super) fn schedule(&mut self, due: Due) {
        self.due = self.due.max(due);
    }

    /// Probes the endpoints whose probes are due, and publishes changed load reports.
    fn tick(&mut self) {
        let now = self.shared.now();
        let interval = self.shared.settings.watch.report_interval;
        let mut endpoints = Vec::new();
        let others = self.probed_by_others();
        for record in self.fleet.records.values_mut() {
            if !record.is_probing && record.next_probe <= now && !others.contains(&record.endpoint.vm) {
                record.is_probing = true;
                record.next_probe = now + interval;
                endpoints.push(Arc::clone(&record.endpoint));
            }
        }
        for endpoint in endpoints {
            self.probe(endpoint, None);
        }
        self.update_parts();
        if self.due >= Due::Tick {
            self.publish_now();
        }
        self.sharing.tick(now, &self.shared.publisher.current());
    }

    /// Starts a load probe of an endpoint; `waiter` receives the verdict.
    pub(super) fn probe(&self, endpoint: Arc<Endpoint>, waiter: Option<Waiter>) {
        let adapter = self
            .config
            .services
            .get(&endpoint.service)
            .and_then(|service| self.adapters.get(&service.adapter));
        let Some(adapter) = adapter else { return };
        ntex::rt::spawn(watch::probe(Rc::clone(adapter), endpoint, waiter, self.sender.clone())).detach();
    }

    /// Returns the status of the entry, with the published counts of requests in flight.
    fn status(&self) -> Status {
        let snapshot = self.shared.publisher.current();
        let in_flight = |key: Option<key::Endpoint>| {
            key.and_then(|key| snapshot.view.find(key))
                .map_or(0, |row| row.counter().in_flight())
        };
        let endpoints = self.fleet.records.values().map(|record| status::Endpoint {
            vm: record.endpoint.vm.clone(),
            incarnation: record.endpoint.incarnation,
            service: record.endpoint.service.clone(),
            zone: record.endpoint.zone.clone(),
            leaving: record.leaving,
            reachable: record.key.is_some(),
            in_flight: in_flight(record.key),
        });
        Status::of(&self.shared, self.version, endpoints.collect())
    }
}
