//! VMs and what the entries hear of them.

use core::time::Duration;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_route::estimate::Speed;

use super::World;
use super::clock::Event;
use super::scale;
use super::scale::Order;
use super::vm::State;
use crate::engine::Change;
use crate::engine::Engine;
use crate::scenario::Fault;
use crate::workload::Request;
use crate::workload::Service;
use crate::workload::draw_below;

/// How long a refused connection takes.
pub(super) const REFUSED: Duration = Duration::from_millis(2);
/// How long the reclaimable market stays empty after two waves.
const MARKET_EMPTY: Duration = Duration::from_mins(3);
/// The share of its time to the deadline that deferred work plans to use.
const DEFERRED_SHARE: f64 = 0.5;
/// Deferred work is never planned into less than this, in seconds.
const DEFERRED_LEAST: f64 = 60.0;

/// Returns the work of a request in seconds of the reference engine.
pub(super) fn work(prompt: u32, answer: u32) -> f64 {
    const MICROS: f64 = 1e6;
    let speed = Speed::REFERENCE;
    f64::from(speed.prompt_micros(prompt as f32) + speed.token_micros() * answer as f32) / MICROS
}

/// Returns the rate of work after the first sessions have had their turns, which a site that has been running for long
/// would know at the start.
pub(super) fn expected_rate(arrivals: &[Request]) -> f64 {
    const FROM: Instant = Instant::from_secs(60);
    const WINDOW: Duration = Duration::from_mins(2);
    let early = arrivals
        .iter()
        .filter(|request| request.service == Service::Model && (FROM..FROM + WINDOW).contains(&request.at));
    let sum: f64 = early
        .map(|request| work(request.prompt / 2, request.answer_expected))
        .sum();
    sum / WINDOW.as_secs_f64()
}

impl World {
    /// Holds what the first minute needs, ready from the start.
    pub(super) fn hold_at_start(&mut self) {
        let orders = if self.is_elastic() {
            self.scaler.plan(Instant::ZERO, 0.0, &self.vms)
        } else {
            (0..self.vms.len()).map(Order::Start).collect()
        };
        for order in orders {
            if let Order::Start(vm) = order {
                self.vms[vm].order(Instant::ZERO);
                let life = self.vms[vm].life;
                self.ready(vm, life, Instant::ZERO);
            }
        }
    }

    pub(super) fn scale(&mut self, now: Instant) {
        self.agenda.add(now + scale::TICK, Event::Scale);
        self.release_drained(now);
        if !self.is_elastic() {
            return;
        }
        let deferred = self.deferred_rate(now);
        let orders = self.scaler.tick(now, deferred + self.backlog_rate(), &self.vms);
        if self.suffers(Fault::Platform, now) {
            return;
        }
        for order in orders {
            match order {
                Order::Start(vm) => self.start(vm, now),
                Order::Stop(vm) => self.drain(vm, now),
            }
        }
    }

    /// Returns the rate of work that deferred jobs need to meet their deadlines.
    fn deferred_rate(&self, now: Instant) -> f64 {
        let pending = self.entries.iter().flat_map(|entry| &entry.pending);
        pending
            .map(|&(deadline, job)| {
                let request = &self.tasks[job as usize].request;
                let left = deadline.since(now).as_secs_f64() * DEFERRED_SHARE;
                work(request.prompt / 2, request.answer_expected) / left.max(DEFERRED_LEAST)
            })
            .sum()
    }

    /// Returns the rate of work that clears the engines' queues soon.
    fn backlog_rate(&self) -> f64 {
        const CLEAR_IN: f64 = 30.0;
        let engines = self
            .vms
            .iter()
            .filter(|vm| vm.offer.service == Service::Model)
            .filter_map(|vm| vm.engine.as_ref());
        let queued = engines
            .flat_map(Engine::queued)
            .filter(|work| !(self.defers && work.urgency == Urgency::Deferrable));
        queued.map(|queued| work(queued.context / 2, queued.left)).sum::<f64>() / CLEAR_IN
    }

    fn start(&mut self, vm: usize, now: Instant) {
        let offer = self.vms[vm].offer;
        if self.closed_zones.contains(&offer.zone) || self.is_market_empty(offer.market, now) {
            self.scaler.refuse(offer.zone, offer.market, now);
            return;
        }
        self.vms[vm].order(now);
        let life = self.vms[vm].life;
        self.agenda.add(now + self.site.start, Event::Ready { vm, life });
    }

    fn is_market_empty(&self, market: Market, now: Instant) -> bool {
        const PEAK: u64 = 550;
        let from = self.scenario.moment(PEAK);
        let waves = self.scenario.fault == Fault::TwoWaves;
        waves && market == Market::Reclaimable && (from..from + MARKET_EMPTY).contains(&now)
    }

    fn drain(&mut self, vm: usize, now: Instant) {
        self.vms[vm].state = State::Draining;
        self.mark_leaving(vm, now);
    }

    fn release_drained(&mut self, now: Instant) {
        for vm in 0..self.vms.len() {
            let empty = self.vms[vm].engine.as_ref().is_some_and(Engine::is_empty);
            if self.vms[vm].state == State::Draining && empty {
                self.release(vm, now);
            }
        }
    }

    pub(super) fn ready(&mut self, vm: usize, life: u64, now: Instant) {
        let state = &mut self.vms[vm];
        if state.life != life || state.state != State::Starting {
            return;
        }
        state.state = State::Live;
        let offer = state.offer;
        state.engine = Some(Engine::new(
            offer.speed,
            offer.cache_blocks,
            self.workload.block_tokens,
            now,
        ));
        let reclaims = self.site.reclaims_per_mille_hour;
        let keys = self.entries.iter_mut().map(|entry| entry.join(vm, &offer, reclaims));
        self.vms[vm].keys = keys.collect();
        // Reports of different engines come at different moments.
        let offset = super::REPORT_EVERY * (vm as u32 % 16) / 16;
        self.agenda.add(now + offset, Event::Report { vm, life });
    }

    pub(super) fn make_report(&mut self, vm: usize, life: u64, now: Instant) {
        if self.vms[vm].life != life {
            return;
        }
        self.run_engine(vm, now);
        let stale = self.suffers(Fault::Stale, now);
        let lost = draw_below(&mut self.rng, 1_000)
            < if stale {
                super::STALE_LOST_PERMILLE
            } else {
                super::LOST_PERMILLE
            };
        let Some(engine) = self.vms[vm].engine.as_mut() else {
            return;
        };
        let report = engine.report(now);
        let change = Some(engine.take_change()).filter(|_| !lost);
        let lag = if stale { super::STALE_LAG } else { super::LAG };
        self.agenda.add(
            now + lag,
            Event::Deliver {
                vm,
                life,
                report,
                change,
            },
        );
        self.agenda.add(now + super::REPORT_EVERY, Event::Report { vm, life });
    }

    pub(super) fn deliver(&mut self, vm: usize, life: u64, report: Report, change: Option<&Change>, now: Instant) {
        if self.vms[vm].life != life {
            return;
        }
        for (entry, &key) in self.entries.iter_mut().zip(&self.vms[vm].keys) {
            // An endpoint that was forgotten meanwhile needs no news.
            let _known = entry.registry.record_report(key, report, now).is_ok();
            let hints = entry.registry.hints();
            match change {
                Some(change) => {
                    change.added.iter().for_each(|&block| hints.insert(block, key, now));
                    change.evicted.iter().for_each(|&block| hints.remove(block, key));
                }
                None => {
                    let _known = entry.registry.record_event_gap(key, now).is_ok();
                }
            }
        }
    }

    /// Marks a VM as leaving at all entries, at once in their views.
    pub(super) fn mark_leaving(&mut self, vm: usize, now: Instant) {
        for (entry, &key) in self.entries.iter_mut().zip(&self.vms[vm].keys) {
            if entry.registry.mark_leaving(key).is_ok() {
                entry.publish(now);
            }
        }
    }

    /// Gives a VM back and returns what it still ran.
    pub(super) fn release(&mut self, vm: usize, now: Instant) -> Option<Engine> {
        let keys = core::mem::take(&mut self.vms[vm].keys);
        for (entry, key) in self.entries.iter_mut().zip(keys) {
            entry.forget(key);
            entry.publish(now);
        }
        self.vms[vm].release(now)
    }
}
