//! What the control thread keeps.

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

#[derive(Debug)]
struct ServiceState {
    target: Duration,
    pool: Pool,
    forecast: Forecast,
}

/// Follows configuration, load and gossip for one entry.
#[derive(Debug)]
pub struct Kernel {
    settings: Settings,
    zones: Vec<name::Zone>,
    peers: usize,
    ledger: Ledger,
    services: BTreeMap<name::Service, ServiceState>,
}

impl Kernel {
    /// Makes the kernel of an entry, given the other zones and how many other entries of its zone are alive.
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

    /// Follows a configuration, and returns the table for workers; what was used so far stays counted.
    pub fn configure(&mut self, now: Instant, organisations: &[Organisation], services: &[Service]) -> Table {
        self.services
            .retain(|name, _| services.iter().any(|service| service.name == *name));
        for service in services {
            self.open(service);
        }
        let named = |name: &name::Organisation| organisations.iter().find(|organisation| organisation.name == *name);
        self.ledger.retain(|name| named(name).is_some());
        for (service, desk) in &mut self.services {
            let uses = |organisation: &Organisation| organisation.services.contains(service);
            desk.pool.retain(|name| named(name).is_some_and(uses));
        }
        let rows = organisations
            .iter()
            .map(|organisation| (organisation.name.clone(), self.row(now, organisation)));
        let rows = rows.collect();
        let gates = self
            .services
            .iter()
            .map(|(name, desk)| (name.clone(), desk.forecast.gate()));
        Table {
            rows: Arc::new(rows),
            gates: Arc::new(gates.collect()),
        }
    }

    fn open(&mut self, service: &Service) {
        let settings = self.settings;
        let new = || ServiceState {
            target: service.target,
            pool: Pool::new(
                settings.share,
                View::new(settings.demand, self.zones.clone(), self.peers),
            ),
            forecast: Forecast::new(settings.gate, settings.memory),
        };
        let desk = self.services.entry(service.name.clone()).or_insert_with(new);
        desk.target = service.target;
    }

    fn row(&mut self, now: Instant, organisation: &Organisation) -> Row {
        let account = self.ledger.open(now, organisation.name.clone(), organisation.limits);
        let mut cells = FxHashMap::default();
        for service in &organisation.services {
            if let Some(desk) = self.services.get_mut(service) {
                cells.insert(
                    service.clone(),
                    desk.pool.join(organisation.name.clone(), organisation.weight),
                );
            }
        }
        Row { account, cells }
    }

    /// Sets limits, shares and waits anew; called some times a second.
    ///
    /// A service without a reading predicts no wait, so nothing is refused for want of knowledge.
    pub fn tick(&mut self, now: Instant, readings: &BTreeMap<name::Service, Reading>) {
        self.ledger.tick(now);
        for (service, desk) in &mut self.services {
            let Some(reading) = readings.get(service) else {
                continue;
            };
            let portion = desk.pool.view.sums(now).part();
            let late = admission::Reading {
                capacity: reading.capacity,
                waits: reading.waits,
                concurrency: reading.concurrency,
                age: reading.age,
                portion,
            };
            desk.forecast.tick(now, late);
            let supply = Supply {
                capacity: reading.capacity,
                wait: desk.forecast.gate().wait(now, Urgency::Urgent),
                target: desk.target,
            };
            desk.pool.tick(now, supply);
        }
    }

    /// Returns the work that a service is asked for per second, here and elsewhere.
    pub fn demand(&self, now: Instant, service: &name::Service) -> f64 {
        self.services.get(service).map_or(0.0, |desk| desk.pool.demand(now))
    }

    /// Returns what the others should hear now.
    pub fn announce(&mut self, now: Instant) -> Announcement {
        let announced = self.ledger.view.announce(now);
        let mut announcement = Announcement::default();
        announcement.entry.requests.clone_from(&announced.entry);
        announcement.zone.requests.clone_from(&announced.zone);
        for (service, desk) in &mut self.services {
            let announced = desk.pool.view.announce(now);
            announcement.entry.work.insert(service.clone(), announced.entry.clone());
            announcement.zone.work.insert(service.clone(), announced.zone.clone());
        }
        announcement
    }

    /// Notes what another entry of this zone, or another zone, told; `age` is how long ago.
    pub fn observe(&mut self, now: Instant, origin: &Origin, age: Duration, mut demand: Demand) {
        self.ledger.view.observe(now, origin.clone(), age, demand.requests);
        for (service, desk) in &mut self.services {
            let rates = demand.work.remove(service).unwrap_or_default();
            desk.pool.view.observe(now, origin.clone(), age, rates);
        }
    }

    /// Sets how many other entries of this zone are alive.
    pub fn set_peers(&mut self, peers: usize) {
        self.peers = peers;
        self.views().for_each(|view| view.set_peers(peers));
    }

    /// Forgets an entry of this zone that left or died.
    pub fn remove(&mut self, entry: &name::Entry) {
        self.views().for_each(|view| view.remove(entry));
    }

    fn views(&mut self) -> impl Iterator<Item = &mut View> {
        let shares = self.services.values_mut().map(|desk| &mut desk.pool.view);
        core::iter::once(&mut self.ledger.view).chain(shares)
    }
}
