//! State of the limiter on the control thread.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use rustc_hash::FxHashMap;

use super::Announcement;
use super::Demand;
use super::Organisation;
use super::Reading;
use super::Service;
use super::Settings;
use super::Table;
use super::table::Row;
use crate::admission;
use crate::admission::Forecast;
use crate::demand::Origin;
use crate::demand::View;
use crate::quota::Ledger;
use crate::share::Pool;
use crate::share::Supply;

/// State of one service.
#[derive(Debug)]
struct ServiceState {
    target: Duration,
    pool: Pool,
    forecast: Forecast,
}

/// Limits, shares and admission of one entry, updated from configuration, load readings and announcements.
#[derive(Debug)]
pub struct Kernel {
    settings: Settings,
    /// Other zones.
    zones: Vec<name::Zone>,
    /// Number of other live entries in this zone.
    peers: usize,
    ledger: Ledger,
    services: BTreeMap<name::Service, ServiceState>,
}

impl Kernel {
    /// Creates the kernel of an entry; `zones` are the other zones and `peers` counts the other live entries of its
    /// zone.
    pub fn new(settings: Settings, zones: Vec<name::Zone>, peers: usize) -> Self {
        let ledger = Ledger::new(View::new(settings.demand, zones.clone(), peers));
        Self {
            settings,
            zones,
            peers,
            ledger,
            services: BTreeMap::new(),
        }
    }

    /// Applies a configuration and returns the table for the workers; past use stays counted.
    pub fn configure(&mut self, now: Instant, organisations: &[Organisation], services: &[Service]) -> Table {
        self.services
            .retain(|name, _| services.iter().any(|service| service.name == *name));
        for service in services {
            self.open(service);
        }
        let find = |name: &name::Organisation| organisations.iter().find(|organisation| organisation.name == *name);
        self.ledger.retain(|name| find(name).is_some());
        for (service, state) in &mut self.services {
            let uses = |organisation: &Organisation| organisation.services.contains(service);
            state.pool.retain(|name| find(name).is_some_and(uses));
        }
        let rows = organisations
            .iter()
            .map(|organisation| (organisation.name.clone(), self.row(now, organisation)));
        let rows = rows.collect();
        let gates = self
            .services
            .iter()
            .map(|(name, state)| (name.clone(), state.forecast.gate()));
        Table {
            rows: Arc::new(rows),
            gates: Arc::new(gates.collect()),
        }
    }

    /// Adds a service or updates its latency target.
    fn open(&mut self, service: &Service) {
        let settings = self.settings;
        let new = || ServiceState {
            target: service.target,
            pool: Pool::new(
                settings.share,
                View::new(settings.demand, self.zones.clone(), self.peers),
            ),
            forecast: Forecast::new(settings.gate, settings.max_report_age),
        };
        let state = self.services.entry(service.name.clone()).or_insert_with(new);
        state.target = service.target;
    }

    /// Returns the account and the allowances of an organisation.
    fn row(&mut self, now: Instant, organisation: &Organisation) -> Row {
        let account = self.ledger.open(now, organisation.name.clone(), organisation.limits);
        let mut allowances = FxHashMap::default();
        for service in &organisation.services {
            if let Some(state) = self.services.get_mut(service) {
                allowances.insert(
                    service.clone(),
                    state.pool.join(organisation.name.clone(), organisation.weight),
                );
            }
        }
        Row { account, allowances }
    }

    /// Updates limits, shares and waits; call it several times per second.
    ///
    /// A service that never had a reading predicts no wait, so that nothing is refused because of missing information.
    pub fn tick(&mut self, now: Instant, readings: &BTreeMap<name::Service, Reading>) {
        self.ledger.tick(now);
        for (service, state) in &mut self.services {
            let Some(reading) = readings.get(service) else {
                continue;
            };
            let portion = state.pool.view.sums(now).demand_share();
            let delayed = admission::Reading {
                capacity: reading.capacity,
                waits: reading.waits,
                concurrency: reading.concurrency,
                age: reading.age,
                portion,
            };
            state.forecast.tick(now, delayed);
            let supply = Supply {
                capacity: reading.capacity,
                wait: state.forecast.gate().wait(now, Urgency::Urgent),
                target: state.target,
            };
            state.pool.tick(now, supply);
        }
    }

    /// Returns the demand for a service over the whole fleet, in units of work per second.
    pub fn demand(&self, now: Instant, service: &name::Service) -> f64 {
        self.services.get(service).map_or(0.0, |state| state.pool.demand(now))
    }

    /// Returns the demand to announce to the others now.
    pub fn announce(&mut self, now: Instant) -> Announcement {
        let requests = self.ledger.view.announce(now);
        let mut announcement = Announcement::default();
        announcement.entry.requests.clone_from(&requests.entry);
        announcement.zone.requests.clone_from(&requests.zone);
        for (service, state) in &mut self.services {
            let work = state.pool.view.announce(now);
            announcement.entry.work.insert(service.clone(), work.entry.clone());
            announcement.zone.work.insert(service.clone(), work.zone.clone());
        }
        announcement
    }

    /// Records the demand that another entry of this zone, or another zone, announced; `age` is the age of the figures.
    pub fn observe(&mut self, now: Instant, origin: &Origin, age: Duration, mut demand: Demand) {
        self.ledger.view.observe(now, origin.clone(), age, demand.requests);
        for (service, state) in &mut self.services {
            let rates = demand.work.remove(service).unwrap_or_default();
            state.pool.view.observe(now, origin.clone(), age, rates);
        }
    }

    /// Sets the number of other live entries in this zone.
    pub fn set_peers(&mut self, peers: usize) {
        self.peers = peers;
        self.views().for_each(|view| view.set_peers(peers));
    }

    /// Removes an entry of this zone that left or failed.
    pub fn remove(&mut self, entry: &name::Entry) {
        self.views().for_each(|view| view.remove(entry));
    }

    /// Returns all views of demand.
    fn views(&mut self) -> impl Iterator<Item = &mut View> {
        let shares = self.services.values_mut().map(|state| &mut state.pool.view);
        core::iter::once(&mut self.ledger.view).chain(shares)
    }
}
