//! Draws of endpoints that pause, while operators change the limits of a route.

use core::ops::Range;
use core::time::Duration;

use super::CALM;
use super::Draw;
use super::Plan;
use super::Size;
use super::Step;
use crate::engine::PACES;
use crate::site::Limits;
use crate::site::SERVICES;

/// Mean time between two services whose endpoints pause, in milliseconds: shorter than pauses last.
const GAP_MS: u64 = 700;

/// How long endpoints pause, in milliseconds.
const PAUSE_MS: Range<u64> = 300..3_000;

/// Mean time between two changes of limits, in milliseconds.
const CHANGE_GAP_MS: u64 = 1_000;

/// Time limits of the route, in milliseconds.
const TIMEOUT_MS: Range<u64> = 6_000..12_000;

/// Longest pauses of the route's streams that are on time, in milliseconds.
const IDLE_MS: [u64; 3] = [200, 250, 300];

impl Plan {
    /// Draws endpoints that pause, model engines too if there are any, and changes of limits, and adds them; the other steps
    /// stay as they are.
    #[must_use]
    pub fn with_pauses(mut self, seed: u64, size: Size, has_engines: bool) -> Self {
        // Other numbers than those of the steps before.
        let mut draw = Draw::new(seed, size, 7);
        draw.pauses(has_engines);
        draw.changes();
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }
}

impl Draw {
    /// Draws one, half or all of the endpoints of a service again and again; all pauses end within the run.
    fn pauses(&mut self, has_engines: bool) {
        let services = SERVICES.len();
        let mut at = CALM + Duration::from_millis(self.below(2 * GAP_MS));
        while at + Duration::from_millis(PAUSE_MS.end) < self.size.span {
            let service = self.below((services + usize::from(has_engines)) as u64) as usize;
            let (base, step, endpoints) = if service == services {
                (services * self.size.endpoints, 1, PACES.len())
            } else {
                (service, services, self.size.endpoints)
            };
            let first = self.below(endpoints as u64) as usize;
            let count = [1, endpoints.div_ceil(2), endpoints][self.below(3) as usize];
            let span = self.within(PAUSE_MS);
            for number in first..first + count {
                let place = base + number % endpoints * step;
                self.push(at, Step::Pause(place, span));
            }
            at += Duration::from_millis(self.below(2 * GAP_MS));
        }
    }

    fn changes(&mut self) {
        let mut at = CALM + Duration::from_millis(self.below(2 * CHANGE_GAP_MS));
        while at < self.size.span {
            let limits = Limits {
                timeout: self.within(TIMEOUT_MS),
                pause: Duration::from_millis(IDLE_MS[self.below(IDLE_MS.len() as u64) as usize]),
            };
            self.push(at, Step::Limit(limits));
            at += Duration::from_millis(self.below(2 * CHANGE_GAP_MS));
        }
    }
}
