//! Current load of a service, summed over its endpoints in the routing view.

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

use super::size::prompt_weight;
use super::throughput::Throughput;

const URGENCIES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Deferrable];

/// Combined capacity and load of a service's endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    /// Capacity in units of work per second.
    pub(super) capacity: f64,
    /// Price of the endpoints per hour.
    pub(super) price: Price,
    /// Number of endpoints with a known capacity.
    known: u32,
    /// Number of endpoints without a known capacity.
    unknown: u32,
    /// Number of requests that can run concurrently.
    slots: f64,
    /// Number of running requests and of waiting requests ahead of a new one, by urgency.
    ahead: [f64; URGENCIES.len()],
    /// Work of the prompts that are not computed yet.
    prompt_work: f64,
}

impl Load {
    /// Sums the load of the endpoints of a service.
    pub(super) fn of(
        now: Instant,
        kind: Kind,
        view: &View,
        service: view::Service,
        throughputs: &mut SecondaryMap<key::Endpoint, Throughput>,
    ) -> Self {
        let mut load = Self::default();
        for index in view.pool(service) {
            let row = &view.rows()[usize::from(*index)];
            load.price = load.price + row.endpoint().price;
            let Some((report, _)) = row.report().filter(|(report, _)| report.slots > 0) else {
                load.unknown += 1;
                continue;
            };
            let Some(throughput) = throughputs.entry(row.key()).map(Entry::or_default) else {
                continue;
            };
            let Some(capacity) = throughput.update(now, kind, row, &report) else {
                load.unknown += 1;
                continue;
            };
            load.known += 1;
            load.capacity += capacity;
            load.slots += f64::from(report.slots);
            let slots = f64::from(report.slots);
            let requests = throughput.estimate_requests(row, &report, view.entries());
            for (ahead, urgency) in load.ahead.iter_mut().zip(URGENCIES) {
                let waiting = (requests - slots).max(0.0) * f64::from(row.counter().share_ahead(urgency));
                *ahead += requests.min(slots) + waiting;
            }
            load.prompt_work += f64::from(report.prefill_backlog) * prompt_weight();
        }
        load.extrapolate()
    }

    /// Adds endpoints without a known capacity, assumed to have the average capacity and load of the others.
    fn extrapolate(mut self) -> Self {
        if self.known > 0 {
            let factor = 1.0 + f64::from(self.unknown) / f64::from(self.known);
            self.capacity *= factor;
            self.slots *= factor;
            self.prompt_work *= factor;
            self.ahead = self.ahead.map(|ahead| ahead * factor);
        }
        self
    }

    /// Returns the average work per second of one endpoint.
    pub(super) fn endpoint_rate(&self) -> f64 {
        self.capacity / f64::from((self.known + self.unknown).max(1))
    }

    /// Returns the predicted waits for requests of the given mean work, or `None` if no capacity is known.
    pub(super) fn reading(&self, mean_work: f64) -> Option<Reading> {
        if self.capacity <= 0.0 {
            return None;
        }
        let duration = |work: f64| Duration::try_from_secs_f64(work / self.capacity).unwrap_or(Duration::MAX);
        let wait = |ahead: f64| duration(ahead * mean_work + self.prompt_work);
        Some(Reading {
            capacity: self.capacity,
            waits: self.ahead.map(wait),
            concurrency: duration(self.slots * mean_work),
            age: Duration::ZERO,
        })
    }
}
