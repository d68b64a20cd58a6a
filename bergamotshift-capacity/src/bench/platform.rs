//! The simulated platform, which sells and starts VMs and reclaims zones.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::market;
use super::market::Loss;
use crate::market::Offer;
use crate::market::Phase;
use crate::market::Pool;
use crate::market::Vm;
use crate::policy::Action;
use crate::policy::Event;

/// Time from a purchase until the VM serves.
const BOOT_TIME: Duration = Duration::from_secs(150);

#[derive(Debug)]
pub(super) struct Platform {
    pub(super) offers: Vec<Offer>,
    pub(super) vms: Vec<Vm>,
    pub(super) starts: u64,
    pub(super) stops: u64,
    ready: Vec<(Instant, name::Vm)>,
}

impl Platform {
    pub(super) fn new(zones: usize) -> Self {
        Self {
            offers: market::offers(zones),
            vms: Vec::new(),
            starts: 0,
            stops: 0,
            ready: Vec::new(),
        }
    }

    /// Removes all VMs of a zone, and returns the events for the policy.
    pub(super) fn lose_zone(&mut self, zone: &str) -> Vec<Event> {
        let gone = self.vms.extract_if(.., |vm| vm.pool.zone.as_str() == zone);
        gone.map(|vm| Event::Reclaimed(vm.pool)).collect()
    }

    /// Makes VMs live whose boot time has passed, and draining VMs idle.
    pub(super) fn advance(&mut self, now: Instant) {
        let up: Vec<_> = self.ready.extract_if(.., |(at, _)| *at <= now).collect();
        for vm in &mut self.vms {
            match vm.phase {
                Phase::Starting if up.iter().any(|(_, name)| *name == vm.name) => vm.phase = Phase::Live(now),
                Phase::Draining { .. } => vm.phase = Phase::Draining { idle: true },
                _ => {}
            }
        }
    }

    /// Executes an action, and returns the event for the policy if the action is a start.
    pub(super) fn carry_out(&mut self, now: Instant, action: Action, losses: &[Loss]) -> Option<Event> {
        let second = now.as_micros() / 1_000_000;
        match action {
            Action::Start(pool) if losses.iter().any(|loss| loss.refuses(&pool, second)) => Some(Event::Refused(pool)),
            Action::Start(pool) => {
                self.start(now, pool.clone());
                Some(Event::Started(pool))
            }
            Action::Drain(name) => {
                if let Some(vm) = self.vms.iter_mut().find(|vm| vm.name == name) {
                    vm.phase = Phase::Draining { idle: false };
                }
                None
            }
            Action::Stop(name) => {
                self.vms.retain(|vm| vm.name != name);
                self.stops += 1;
                None
            }
        }
    }

    fn start(&mut self, now: Instant, pool: Pool) {
        self.starts += 1;
        let name = name::Vm::new(format!("vm-{:05}", self.starts));
        self.ready.push((now + BOOT_TIME, name.clone()));
        self.vms.push(Vm {
            name,
            pool,
            rate: 1.0,
            phase: Phase::Starting,
        });
    }

    /// Returns the capacity of the live VMs, in units of work per second.
    pub(super) fn live(&self) -> f64 {
        let live = self.vms.iter().filter(|vm| matches!(vm.phase, Phase::Live(_)));
        live.map(|vm| vm.rate).sum()
    }

    /// Returns the price of all VMs per hour, in currency units.
    pub(super) fn price(&self) -> f64 {
        let offer = |vm: &Vm| self.offers.iter().find(|offer| offer.pool == vm.pool);
        let price = |vm: &Vm| offer(vm).map_or(0.0, |offer| market::currency_units(offer.price));
        self.vms.iter().map(price).sum()
    }
}
