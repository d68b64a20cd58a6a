//! Control of a rollout from the first canary to the final state, at the entry that holds the duties.

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

/// Fraction of the requests allowed to a bad version that a canary may get.
const CANARY_FRACTION: f64 = 0.5;

/// Fraction of the requests allowed to a bad version that an endpoint under stress may get.
const STRESS_FRACTION: f64 = 0.3;

/// Maximum share for a canary, reached by services with few requests, and for an endpoint under stress (of the small
/// requests).
const MAX_SHARE: f64 = 0.4;

/// Maximum time for which an endpoint is under stress.
const STRESS_DURATION: Duration = Duration::from_millis(3_500);

/// Maximum fraction of the time limit that the stress phase may take.
const MAX_STRESS_FRACTION: f64 = 0.25;

/// Fraction of its slots that an endpoint under stress is meant to use.
const STRESS_LOAD: f64 = 0.65;

/// Ratio of the share of the small requests to the share of all requests that gives the same load.
const SMALL_REQUEST_FACTOR: f64 = 1.6;

/// Decay factor of the average number of requests in flight, per observation.
const IN_FLIGHT_DECAY: f64 = 0.9;

/// Time before the time limit at which requests begin to move to the new version.
const SHIFT_RESERVE: Duration = Duration::from_millis(4_500);

/// Maximum fraction of the time limit that `SHIFT_RESERVE` may take.
const MAX_RESERVE_FRACTION: f64 = 0.45;

/// Time before the time limit at which the order is completed even if requests are in flight at the old endpoints.
const COMPLETION_RESERVE: Duration = Duration::from_millis(700);

/// Shares in which requests move to the new version, in thousandths, with the duration of each step.
const SHIFT_STEPS: [(u16, Duration); 3] = [
    (250, Duration::from_millis(600)),
    (500, Duration::from_millis(600)),
    (FULL_SHARE, Duration::from_millis(1_200)),
];

/// State of a rollout as observed at one time.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Age of the order.
    pub age: Duration,
    /// Answers observed by all entries since the order was given.
    pub evidence: Evidence,
    /// Number of endpoints of the version in force that take requests.
    pub stable_endpoints: usize,
    /// Number of endpoints of the new version that take requests.
    pub canary_endpoints: usize,
    /// Number of requests in flight at endpoints of the version in force.
    pub stable_in_flight: u32,
    /// Number of requests that an endpoint runs concurrently.
    pub slots: u32,
}

/// Decision of a director after an observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Phase of the rollout.
    pub phase: Phase,
    /// Share of the requests that goes to the new version, in thousandths.
    pub share: u16,
    /// State to report to the operators.
    pub state: State,
    /// Cause of a rejection, set only when the version is rejected.
    pub cause: Option<Cause>,
}

/// Director of one order.
#[derive(Clone, Debug)]
pub struct Director {
    settings: Settings,
    order: Order,
    phase: Phase,
    detector: Detector,
    /// Moving average of the requests in flight at endpoints of the version in force.
    in_flight: f64,
    /// Number of answers of the new version that had begun when the stress phase started.
    before_stress: u32,
    /// Time at which requests began to move.
    shifting_since: Option<Instant>,
}

impl Director {
    /// Creates a director that continues from the last directive about this order, if there is one.
    pub fn new(settings: Settings, order: Order, last: Option<&Directive>) -> Self {
        let last = last.filter(|directive| directive.order == order.number);
        Self {
            settings,
            order,
            phase: last.map_or(Phase::Canary, |directive| directive.phase),
            detector: Detector::default(),
            in_flight: 0.0,
            before_stress: 0,
            shifting_since: None,
        }
    }

    /// Returns the order.
    pub const fn order(&self) -> &Order {
        &self.order
    }

    /// Sets the state that was reported to the operators, if it is final.
    pub fn set_final_state(&mut self, state: State) {
        if state.is_final() {
            self.phase = state.into();
        }
    }

    /// Evaluates an observation and returns the decision.
    pub fn observe(&mut self, now: Instant, observation: &Observation) -> Step {
        let cause = self.detector.update(&observation.evidence);
        self.in_flight =
            self.in_flight * IN_FLIGHT_DECAY + f64::from(observation.stable_in_flight) * (1.0 - IN_FLIGHT_DECAY);
        self.advance(now, observation, cause.is_some());
        let is_halted = self.phase == Phase::Halted;
        Step {
            phase: self.phase,
            share: self.share(now, observation),
            state: self.state(now, observation),
            cause: cause.filter(|_| is_halted),
        }
    }

    /// Enters the next phase if it is due.
    fn advance(&mut self, now: Instant, observation: &Observation, is_bad: bool) {
        let reserve = SHIFT_RESERVE.min(self.order.duration.mul_f64(MAX_RESERVE_FRACTION));
        let stress = STRESS_DURATION.min(self.order.duration.mul_f64(MAX_STRESS_FRACTION));
        let is_before = |reserve: Duration| observation.age + reserve < self.order.duration;
        match self.phase {
            Phase::Canary | Phase::Stress | Phase::Shifting if is_bad => self.phase = Phase::Halted,
            Phase::Canary | Phase::Stress
                if observation.canary_endpoints > 0 && (observation.stable_endpoints == 0 || !is_before(reserve)) =>
            {
                self.phase = Phase::Shifting;
                self.shifting_since = Some(now);
                self.detector.reset_tests();
            }
            Phase::Canary if observation.canary_endpoints > 0 && !is_before(reserve + stress) => {
                self.phase = Phase::Stress;
                self.before_stress = observation.evidence.total(true).began();
                self.detector.reset_tests();
            }
            // The previous duty holder started to move requests; not all entries may know of it yet.
            Phase::Shifting => {
                self.shifting_since.get_or_insert(now);
            }
            _ => {}
        }
    }

    /// Returns the share of the requests for the new version in the current phase.
    fn share(&self, now: Instant, observation: &Observation) -> u16 {
        match self.phase {
            Phase::Canary if observation.canary_endpoints > 0 => self.canary_share(observation),
            Phase::Stress => self.stress_share(observation),
            Phase::Shifting => self.shifted_share(now),
            Phase::Canary | Phase::Halted | Phase::Completed | Phase::RolledBack => 0,
        }
    }

    /// Returns the share of the small requests that puts one endpoint under load.
    ///
    /// A canary's share uses only a few slots. Without this load, a version that fails once half of its slots are in
    /// use would be accepted and would fail at the next peak.
    fn stress_share(&self, observation: &Observation) -> u16 {
        let answers = observation
            .evidence
            .total(true)
            .began()
            .saturating_sub(self.before_stress);
        if f64::from(answers) >= self.allowed_requests(observation) * STRESS_FRACTION {
            return 0;
        }
        let wanted = f64::from(observation.slots) * STRESS_LOAD;
        thousandths((wanted / self.in_flight.max(1.0) * SMALL_REQUEST_FACTOR).min(MAX_SHARE))
    }

    /// Returns the number of requests that a bad version may get until the time limit, from the request rate so far.
    fn allowed_requests(&self, observation: &Observation) -> f64 {
        let expected = request_rate(observation) * self.order.duration.as_secs_f64();
        self.settings.expose_share * expected + self.settings.expose_slack
    }

    /// Returns the share of the requests for a canary.
    fn canary_share(&self, observation: &Observation) -> u16 {
        let expected = request_rate(observation) * self.order.duration.as_secs_f64();
        let share = if expected > 0.0 {
            self.allowed_requests(observation) / expected
        } else {
            self.settings.expose_share
        };
        thousandths((share * CANARY_FRACTION).min(MAX_SHARE))
    }

    /// Returns the time for which requests have been moving.
    fn shifting_for(&self, now: Instant) -> Duration {
        self.shifting_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the share of the requests that has moved so far.
    fn shifted_share(&self, now: Instant) -> u16 {
        let elapsed = self.shifting_for(now);
        let mut end = Duration::ZERO;
        for (share, span) in SHIFT_STEPS {
            end += span;
            if elapsed < end {
                return share;
            }
        }
        FULL_SHARE
    }

    /// Returns the state to report to the operators.
    fn state(&self, now: Instant, observation: &Observation) -> State {
        match self.phase {
            Phase::Shifting if self.is_complete(now, observation) => State::Completed,
            Phase::Canary | Phase::Stress | Phase::Shifting => State::Running,
            Phase::Halted | Phase::RolledBack => State::RolledBack,
            Phase::Completed => State::Completed,
        }
    }

    /// Returns whether the order is complete.
    ///
    /// The old endpoints stop at once on completion, so no request may be in flight there unless the time limit is
    /// near. Without endpoints of the new version, the order is not complete.
    fn is_complete(&self, now: Instant, observation: &Observation) -> bool {
        let steps: Duration = SHIFT_STEPS.iter().map(|(_, span)| *span).sum();
        let elapsed = self.shifting_for(now);
        observation.canary_endpoints > 0
            && elapsed >= steps
            && (observation.stable_in_flight == 0 || observation.age + COMPLETION_RESERVE >= self.order.duration)
    }
}

/// Returns the number of requests per second since the order was given.
fn request_rate(observation: &Observation) -> f64 {
    let answers = observation.evidence.total(false).began() + observation.evidence.total(true).began();
    f64::from(answers) / observation.age.as_secs_f64().max(1.0)
}

/// Converts a share to thousandths.
fn thousandths(share: f64) -> u16 {
    (share * f64::from(FULL_SHARE)).round() as u16
}
