//! Directs one order from its first canary to its end, at the entry that holds the duties.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::detector::Cause;
use crate::detector::Detector;
use crate::directive::Directive;
use crate::directive::FULL_SHARE;
use crate::directive::Phase;
use crate::evidence::Evidence;
use crate::order::Order;
use crate::order::State;
use crate::settings::Settings;

/// The part of what a bad version may get that a canary gets.
const EXPOSURE_USED: f64 = 0.5;

/// The same for an endpoint under stress.
const STRESS_USED: f64 = 0.3;

/// The most that a canary gets of a service with few requests, and an endpoint under stress of the small requests.
const MOST_SHARE: f64 = 0.4;

/// How long an endpoint is under stress at the most.
const STRESS: Duration = Duration::from_millis(3_500);

/// The largest part of the time limit that this may be.
const STRESS_SHARE: f64 = 0.25;

/// The part of its places that an endpoint under stress is to have taken.
const STRESSED: f64 = 0.65;

/// How many times as large the share of the small requests is than that of all requests would be.
const SMALL: f64 = 1.6;

/// What the requests under way count for after each further look.
const FADE: f64 = 0.9;

/// What is left of the time limit when requests begin to move to the new version.
const RESERVE: Duration = Duration::from_millis(4_500);

/// The largest part of the time limit that this may be.
const RESERVE_SHARE: f64 = 0.45;

/// What is left of the time limit when the order is completed whatever is still under way at the old endpoints.
const CLOSE: Duration = Duration::from_millis(700);

/// The shares with which requests move, and for how long each stands.
const STEPS: [(u16, Duration); 3] = [
    (250, Duration::from_millis(600)),
    (500, Duration::from_millis(600)),
    (FULL_SHARE, Duration::from_millis(1_200)),
];

/// What a director sees at one look.
#[derive(Clone, Debug)]
pub struct Observation {
    /// How long ago the order was given.
    pub age: Duration,
    /// What all entries saw of the answers since then.
    pub evidence: Evidence,
    /// Endpoints of the version in force that take work.
    pub stable_endpoints: usize,
    /// Endpoints of the new version that take work.
    pub canary_endpoints: usize,
    /// Requests that are under way at endpoints of the version in force.
    pub stable_in_flight: u32,
    /// Requests that an endpoint runs at once.
    pub slots: u32,
}

/// What a director wants at one look.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// What happens to the requests.
    pub phase: Phase,
    /// The part of them that goes to the new version, in thousandths.
    pub share: u16,
    /// What the operators are to be told.
    pub state: State,
    /// Why the version was found bad, at the look that found it so.
    pub cause: Option<Cause>,
}

/// Directs one order.
#[derive(Clone, Debug)]
pub struct Director {
    settings: Settings,
    order: Order,
    phase: Phase,
    detector: Detector,
    /// Requests under way at endpoints of the version in force, with older looks faded.
    in_flight: f64,
    /// Answers of the new version that had begun when one endpoint was put under stress.
    before_stress: u32,
    /// When requests began to move.
    shifting: Option<Instant>,
}

impl Director {
    /// Makes a director that goes on from what was last directed, if anything was.
    pub fn new(settings: Settings, order: Order, last: Option<&Directive>) -> Self {
        let last = last.filter(|directive| directive.order == order.number);
        Self {
            settings,
            order,
            phase: last.map_or(Phase::Canary, |directive| directive.phase),
            detector: Detector::default(),
            in_flight: 0.0,
            before_stress: 0,
            shifting: None,
        }
    }

    /// Returns the order.
    pub const fn order(&self) -> &Order {
        &self.order
    }

    /// Notes the state that stands in the operators' status for good.
    pub fn set_final_state(&mut self, state: State) {
        if state.is_final() {
            self.phase = state.into();
        }
    }

    /// Returns what is to happen now.
    pub fn observe(&mut self, now: Instant, observation: &Observation) -> Step {
        let cause = self.detector.update(&observation.evidence);
        self.in_flight = self.in_flight * FADE + f64::from(observation.stable_in_flight) * (1.0 - FADE);
        self.advance(now, observation, cause.is_some());
        let halted = self.phase == Phase::Halted;
        Step {
            phase: self.phase,
            share: self.share(now, observation),
            state: self.state(now, observation),
            cause: cause.filter(|_| halted),
        }
    }

    /// Enters the phase that is due.
    fn advance(&mut self, now: Instant, observation: &Observation, is_bad: bool) {
        let reserve = RESERVE.min(self.order.duration.mul_f64(RESERVE_SHARE));
        let stress = STRESS.min(self.order.duration.mul_f64(STRESS_SHARE));
        let is_within = |left: Duration| observation.age + left < self.order.duration;
        match self.phase {
            Phase::Canary | Phase::Stress | Phase::Shifting if is_bad => self.phase = Phase::Halted,
            Phase::Canary | Phase::Stress
                if observation.canary_endpoints > 0 && (observation.stable_endpoints == 0 || !is_within(reserve)) =>
            {
                self.phase = Phase::Shifting;
                self.shifting = Some(now);
                self.detector.reset_tests();
            }
            Phase::Canary if observation.canary_endpoints > 0 && !is_within(reserve + stress) => {
                self.phase = Phase::Stress;
                self.before_stress = observation.evidence.total(true).began();
                self.detector.reset_tests();
            }
            // The holder before began to move them, and not all entries may know yet.
            Phase::Shifting => {
                self.shifting.get_or_insert(now);
            }
            _ => {}
        }
    }

    fn share(&self, now: Instant, observation: &Observation) -> u16 {
        match self.phase {
            Phase::Canary if observation.canary_endpoints > 0 => self.canary_share(observation),
            Phase::Stress => self.stress_share(observation),
            Phase::Shifting => self.shifted(now),
            Phase::Canary | Phase::Halted | Phase::Completed | Phase::RolledBack => 0,
        }
    }

    /// Returns the share of the small requests that loads one endpoint.
    ///
    /// Failure: a version fails once half of its places are taken, and the canary's share takes a few. Symptom: it passes for
    /// sound, and fails everybody at the next peak.
    fn stress_share(&self, observation: &Observation) -> u16 {
        let answers = observation
            .evidence
            .total(true)
            .began()
            .saturating_sub(self.before_stress);
        if f64::from(answers) >= self.allowed(observation) * STRESS_USED {
            return 0;
        }
        let wanted = f64::from(observation.slots) * STRESSED;
        thousandths((wanted / self.in_flight.max(1.0) * SMALL).min(MOST_SHARE))
    }

    /// Returns how many requests a bad version may get until the time limit, as far as is known by now.
    fn allowed(&self, observation: &Observation) -> f64 {
        let expected = rate(observation) * self.order.duration.as_secs_f64();
        self.settings.expose_share * expected + self.settings.expose_slack
    }

    /// Returns the part of the requests that a canary gets.
    fn canary_share(&self, observation: &Observation) -> u16 {
        let expected = rate(observation) * self.order.duration.as_secs_f64();
        let share = if expected > 0.0 {
            self.allowed(observation) / expected
        } else {
            self.settings.expose_share
        };
        thousandths((share * EXPOSURE_USED).min(MOST_SHARE))
    }

    /// Returns for how long requests have been moving.
    fn moving_for(&self, now: Instant) -> Duration {
        self.shifting.map_or(Duration::ZERO, |shifting| now.since(shifting))
    }

    /// Returns the share of the requests that has moved by now.
    fn shifted(&self, now: Instant) -> u16 {
        let since = self.moving_for(now);
        let mut end = Duration::ZERO;
        for (share, span) in STEPS {
            end += span;
            if since < end {
                return share;
            }
        }
        FULL_SHARE
    }

    fn state(&self, now: Instant, observation: &Observation) -> State {
        match self.phase {
            Phase::Shifting if self.has_moved(now, observation) => State::Completed,
            Phase::Canary | Phase::Stress | Phase::Shifting => State::Running,
            Phase::Halted | Phase::RolledBack => State::RolledBack,
            Phase::Completed => State::Completed,
        }
    }

    /// Returns whether nothing is left at the old endpoints, which stop at once when the order is completed, or the time
    /// limit leaves no more time. Without endpoints of the new version nothing has moved.
    fn has_moved(&self, now: Instant, observation: &Observation) -> bool {
        let steps: Duration = STEPS.iter().map(|(_, span)| *span).sum();
        let since = self.moving_for(now);
        observation.canary_endpoints > 0
            && since >= steps
            && (observation.stable_in_flight == 0 || observation.age + CLOSE >= self.order.duration)
    }
}

/// Returns how many requests a second were answered since the order.
fn rate(observation: &Observation) -> f64 {
    let seen = observation.evidence.total(false).began() + observation.evidence.total(true).began();
    f64::from(seen) / observation.age.as_secs_f64().max(1.0)
}

fn thousandths(share: f64) -> u16 {
    (share * f64::from(FULL_SHARE)).round() as u16
}
