//! Exchanges with other entries which endpoints tolerate few rejections, and which have rejected a request.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::RateLimit;
use bergamotshift_limit::tolerance::Client;

use super::inner::Inner;
use crate::peers::State;
use crate::peers::Tolerance;
use crate::view::Shared;

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Inner {
    /// Returns the tolerances that this entry knows.
    pub(super) fn tolerances(&self, now: Instant) -> Vec<Tolerance> {
        let known = self.directory.endpoints().filter_map(|endpoint| {
            let tolerance = &endpoint.signals.tolerance;
            let announced = tolerance.announced(now)?;
            Some(Tolerance {
                endpoint: endpoint.hash,
                rejections: announced.rate?,
                age_ms: millis(now.since(announced.at)),
                held_ms: tolerance.held_until(now).map_or(0, |until| millis(until.since(now))),
            })
        });
        known.collect()
    }

    /// Applies the tolerances that another entry knows, and holds back where it was rejected.
    pub(super) fn apply_tolerances(now: Instant, shared: &Shared, state: &State) {
        let view = shared.view.load();
        for known in &state.tolerances {
            let Some(endpoint) = view.endpoint(known.endpoint) else {
                continue;
            };
            let tolerance = &endpoint.signals.tolerance;
            let at = now - Duration::from_millis(known.age_ms.into());
            tolerance.update(RateLimit::named(known.rejections, at));
            if known.held_ms > 0 && tolerance.announced(now).is_some() {
                tolerance.hold(now + Duration::from_millis(known.held_ms.into()));
            }
        }
    }

    /// Updates this entry's position among those that send to endpoints which tolerate few rejections.
    pub(super) fn update_tolerances(&self, now: Instant, shared: &Shared) {
        let mut announcing = self
            .directory
            .endpoints()
            .filter(|endpoint| endpoint.signals.tolerance.announced(now).is_some())
            .peekable();
        if announcing.peek().is_none() {
            return;
        }
        let (rank, count) = self.members.position();
        let clock_offset = shared.tally.unix_time().saturating_sub(now.since(Instant::ZERO));
        for endpoint in announcing {
            endpoint.signals.tolerance.set_client(Client {
                rank,
                count,
                shift: endpoint.hash,
                clock_offset,
            });
        }
    }
}
