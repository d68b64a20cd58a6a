//! A service's load now, added up over the endpoints that routing sees.

#[cfg(test)]
mod tests;

use core::time::Duration;

use bergamotshift_config::config::Kind;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::limiter::Reading;
use bergamotshift_route::View;
use bergamotshift_route::view;
use slotmap::SecondaryMap;
use slotmap::secondary::Entry;

use super::flow::Flow;
use super::size::prompt_weight;

const URGENCIES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Deferrable];

/// What one service's endpoints do together.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    /// Units of work per second.
    pub(super) capacity: f64,
    /// What the endpoints cost per hour.
    pub(super) price: Price,
    /// Endpoints whose speed is known, and those whose is not.
    known: u32,
    unknown: u32,
    /// Requests that run at once.
    slots: f64,
    /// Requests that run, and those that wait before one of each urgency.
    ahead: [f64; URGENCIES.len()],
    /// Prompt work not yet done.
    prompts: f64,
}

impl Load {
    /// Adds up what the endpoints of a service report.
    pub(super) fn of(
        now: Instant,
        kind: Kind,
        view: &View,
        service: view::Service,
        flows: &mut SecondaryMap<key::Endpoint, Flow>,
    ) -> Self {
        let mut load = Self::default();
        for place in view.pool(service) {
            let row = &view.rows()[usize::from(*place)];
            load.price = load.price + row.endpoint().price;
            let Some((report, _)) = row.report().filter(|(report, _)| report.slots > 0) else {
                load.unknown += 1;
                continue;
            };
            let Some(flow) = flows.entry(row.key()).map(Entry::or_default) else {
                continue;
            };
            let Some(capacity) = flow.look(now, kind, row, &report) else {
                load.unknown += 1;
                continue;
            };
            load.known += 1;
            load.capacity += capacity;
            load.slots += f64::from(report.slots);
            let slots = f64::from(report.slots);
            let present = flow.present(row, &report, view.entries());
            for (ahead, urgency) in load.ahead.iter_mut().zip(URGENCIES) {
                let waiting = (present - slots).max(0.0) * f64::from(row.counter().share_ahead(urgency));
                *ahead += present.min(slots) + waiting;
            }
            load.prompts += f64::from(report.prefill_backlog) * prompt_weight();
        }
        load.complete()
    }

    /// Takes endpoints of unknown speed for as fast and as busy as the others are on the whole.
    fn complete(mut self) -> Self {
        if self.known > 0 {
            let factor = 1.0 + f64::from(self.unknown) / f64::from(self.known);
            self.capacity *= factor;
            self.slots *= factor;
            self.prompts *= factor;
            self.ahead = self.ahead.map(|ahead| ahead * factor);
        }
        self
    }

    /// Returns the work that one endpoint does per second, on the whole.
    pub(super) fn rate(&self) -> f64 {
        self.capacity / f64::from((self.known + self.unknown).max(1))
    }

    /// Returns the waits of a service whose requests are this much work each, if anything is known of it.
    pub(super) fn reading(&self, mean_work: f64) -> Option<Reading> {
        if self.capacity <= 0.0 {
            return None;
        }
        let span = |work: f64| Duration::try_from_secs_f64(work / self.capacity).unwrap_or(Duration::MAX);
        let wait = |ahead: f64| span(ahead * mean_work + self.prompts);
        Some(Reading {
            capacity: self.capacity,
            waits: self.ahead.map(wait),
            concurrency: span(self.slots * mean_work),
            age: Duration::ZERO,
        })
    }
}
