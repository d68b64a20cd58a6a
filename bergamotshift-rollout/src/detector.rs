//! Detection of bad versions by comparing the answers of both versions over the same time.
//!
//! Each route has two sequential tests, one for failures and one for slow answers, and so have all routes together. A
//! test accumulates the log-likelihood ratio between a bad and a good version over the answers of the new version. The
//! sum never falls below zero (CUSUM), so that a version that turns bad late is found as fast as one that is bad from
//! the start. The baseline is measured at the version in force over the same time and route, so that a fault that
//! affects both versions does not count against the new one.

use std::collections::BTreeMap;

use crate::evidence::Evidence;
use crate::evidence::Group;
use crate::evidence::LATENCY_CLASSES;
use crate::evidence::Tally;

/// Log-likelihood ratio between a bad and a good version from which a version is rejected.
const THRESHOLD: f64 = 7.5;

/// Factor by which the weight of older answers of the version in force decays at each update.
const DECAY: f64 = 0.92;

/// Decay factor for the estimate of the current failure rate.
const RECENT_DECAY: f64 = 0.6;

/// Number of answers of the version in force that are assumed in advance.
const PRIOR_ANSWERS: f64 = 8.0;

/// Number of failures among the assumed answers.
const PRIOR_FAILURES: f64 = 0.2;

/// Failure rate tolerated in a good version beyond that of the version in force.
const FAILURE_TOLERANCE: f64 = 0.03;

/// Minimum failure rate of a bad version among the answers that a good version does not fail.
const FAILURE_INCREASE: f64 = 0.22;

/// Rate of slow answers tolerated in a good version beyond that of the version in force, because its caches are cold.
const SLOW_TOLERANCE: f64 = 0.15;

/// Minimum rate of slow answers of a bad version.
const SLOW_RATE: f64 = 0.6;

/// Number of latency classes above the baseline quantile from which an answer is slow, which is about twice the time.
const SLOW_CLASSES: usize = 2;

/// Quantile of the latency of the version in force that serves as the baseline.
const BASELINE_QUANTILE: f64 = 0.8;

/// Minimum fraction of the endpoints with answers that have to be bad, because one failing endpoint is not a bad
/// version.
const MIN_BAD_FRACTION: f64 = 0.5;

/// Number of answers from which an endpoint is taken into account.
const MIN_ANSWERS: u32 = 4;

/// Symptom by which a version was found bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The version fails more often.
    Failures,
    /// The version answers more slowly.
    Slow,
}

/// Cause of the rejection of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cause {
    /// Symptom of the fault.
    pub sign: Sign,
    /// Hash of the route; `None` for all routes together.
    pub route: Option<u32>,
    /// Number of answers of the new version in the test.
    pub answers: u32,
    /// Number of bad answers among them.
    pub bad: u32,
    /// Rate of bad answers at the version in force.
    pub usual: f64,
}

/// Sequential test of the new version.
#[derive(Clone, Copy, Debug, Default)]
struct Test {
    /// Sum of the log-likelihood ratios.
    log_likelihood_ratio: f64,
    answers: u32,
    bad: u32,
}

impl Test {
    /// Adds answers; `sound` and `faulty` are the rates of bad answers of a good and of a bad version.
    fn update(&mut self, good: u32, bad: u32, sound: f64, faulty: f64) {
        self.log_likelihood_ratio += f64::from(bad) * (faulty / sound).ln();
        self.log_likelihood_ratio += f64::from(good) * ((1.0 - faulty) / (1.0 - sound)).ln();
        self.answers += good + bad;
        self.bad += bad;
        if self.log_likelihood_ratio <= 0.0 {
            *self = Self::default();
        }
    }
}

/// Answers of the version in force, with decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    ended: f64,
    bad: f64,
    latencies: [f64; LATENCY_CLASSES],
    /// Answers with the faster decay, and the failures among them.
    recent: f64,
    recent_bad: f64,
}

impl Baseline {
    /// Adds the answers since the last update.
    fn update(&mut self, answers: &Tally) {
        self.ended = self.ended * DECAY + f64::from(answers.ended());
        self.bad = self.bad * DECAY + f64::from(answers.bad);
        self.recent = self.recent * RECENT_DECAY + f64::from(answers.ended());
        self.recent_bad = self.recent_bad * RECENT_DECAY + f64::from(answers.bad);
        for (own, added) in self.latencies.iter_mut().zip(answers.latencies) {
            *own = *own * DECAY + f64::from(added);
        }
    }

    /// Returns the failure rate: the greater of the rate over the last seconds and the current rate.
    ///
    /// When both versions begin to fail, the rate over the last seconds is too low, and a good version would be
    /// rejected for a fault that affects both.
    fn failures(&self) -> f64 {
        let average = (self.bad + PRIOR_FAILURES) / (self.ended + PRIOR_ANSWERS);
        let current = (self.recent_bad + PRIOR_FAILURES) / (self.recent + PRIOR_ANSWERS);
        average.max(current)
    }

    /// Returns the first latency class that is slow; `None` before there are enough answers.
    fn slow_from(&self) -> Option<usize> {
        let total: f64 = self.latencies.iter().sum();
        if total < PRIOR_ANSWERS {
            return None;
        }
        let mut sum = 0.0;
        let baseline = self.latencies.iter().position(|count| {
            sum += count;
            sum >= total * BASELINE_QUANTILE
        });
        baseline.map(|class| class + SLOW_CLASSES)
    }

    /// Returns the fraction of the answers in a latency class or a slower one.
    fn slow_rate(&self, class: usize) -> f64 {
        let slow: f64 = self.latencies.iter().skip(class).sum();
        slow / self.latencies.iter().sum::<f64>().max(1.0)
    }
}

/// Answers since the last update.
#[derive(Clone, Debug, Default)]
struct Increment {
    stable: Tally,
    canary: BTreeMap<u8, Tally>,
}

impl Increment {
    fn add(&mut self, group: Group, tally: &Tally) {
        match group {
            Group::Stable => self.stable.add(tally),
            Group::Canary(group) => self.canary.entry(group).or_default().add(tally),
        }
    }
}

/// Comparison of both versions on one route, or on all routes together.
#[derive(Clone, Debug, Default)]
struct Comparison {
    baseline: Baseline,
    failures: Test,
    slow: Test,
    /// Answers in the current tests, by group of endpoints of the new version.
    endpoints: BTreeMap<u8, Tally>,
}

impl Comparison {
    /// Adds the answers since the last update and returns why the new version is bad, if it is.
    fn update(&mut self, route: Option<u32>, answers: &Increment) -> Option<Cause> {
        self.baseline.update(&answers.stable);
        let mut total = Tally::default();
        for (group, tally) in &answers.canary {
            self.endpoints.entry(*group).or_default().add(tally);
            total.add(tally);
        }
        let found = self
            .test_failures(route, &total)
            .or_else(|| self.test_latencies(route, &total));
        self.clear_unsuspected();
        found
    }

    /// Tests whether the new version fails too often.
    fn test_failures(&mut self, route: Option<u32>, answers: &Tally) -> Option<Cause> {
        let usual = self.baseline.failures();
        let sound = (usual * 1.5 + FAILURE_TOLERANCE).min(0.6);
        let faulty = sound + (1.0 - sound) * FAILURE_INCREASE;
        self.failures.update(answers.good, answers.bad, sound, faulty);
        let is_bad = |tally: &Tally| f64::from(tally.bad) > f64::from(tally.ended()) * sound;
        let is_known = |tally: &Tally| tally.ended() >= MIN_ANSWERS || tally.bad > 1;
        let found = self.failures.log_likelihood_ratio >= THRESHOLD && self.has_enough_bad(is_known, is_bad);
        found.then(|| cause(Sign::Failures, route, self.failures, usual))
    }

    /// Tests whether the new version answers too slowly.
    fn test_latencies(&mut self, route: Option<u32>, answers: &Tally) -> Option<Cause> {
        let from = self.baseline.slow_from()?;
        let usual = self.baseline.slow_rate(from);
        let sound = (usual * 1.5 + SLOW_TOLERANCE).min(0.5);
        let faulty = SLOW_RATE.max(sound + 0.2);
        let (quick, slow) = answers.latencies.split_at(from.min(LATENCY_CLASSES));
        self.slow.update(quick.iter().sum(), slow.iter().sum(), sound, faulty);
        let began = |tally: &Tally| tally.latencies.iter().sum::<u32>();
        let late = |tally: &Tally| tally.latencies.iter().skip(from).sum::<u32>();
        let is_bad = |tally: &Tally| f64::from(late(tally)) > f64::from(began(tally)) * sound;
        let found = self.slow.log_likelihood_ratio >= THRESHOLD
            && self.has_enough_bad(|tally| began(tally) >= MIN_ANSWERS, is_bad);
        found.then(|| cause(Sign::Slow, route, self.slow, usual))
    }

    /// Returns whether enough of the known groups of endpoints are bad.
    fn has_enough_bad(&self, is_known: impl Fn(&Tally) -> bool, is_bad: impl Fn(&Tally) -> bool) -> bool {
        let known = || self.endpoints.values().filter(|tally| is_known(tally));
        let all = known().count();
        let bad = known().filter(|tally| is_bad(tally)).count();
        all > 0 && bad as f64 >= all as f64 * MIN_BAD_FRACTION && (bad > 1 || all == 1)
    }

    /// Clears the answers by endpoint if no test suspects the version.
    fn clear_unsuspected(&mut self) {
        if self.failures.log_likelihood_ratio <= 0.0 && self.slow.log_likelihood_ratio <= 0.0 {
            self.endpoints.clear();
        }
    }
}

fn cause(sign: Sign, route: Option<u32>, test: Test, usual: f64) -> Cause {
    Cause {
        sign,
        route,
        answers: test.answers,
        bad: test.bad,
        usual,
    }
}

/// Detector of bad versions, updated with all evidence so far.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// Evidence at the last update.
    previous: Evidence,
    routes: BTreeMap<u32, Comparison>,
    /// Comparison over all routes.
    all: Comparison,
}

impl Detector {
    /// Restarts the tests, because other endpoints are tested from now on; the baselines stay.
    pub fn reset_tests(&mut self) {
        for comparison in self.routes.values_mut().chain([&mut self.all]) {
            comparison.failures = Test::default();
            comparison.slow = Test::default();
            comparison.endpoints.clear();
        }
    }

    /// Adds the evidence since the last update and returns why the new version is bad, if it is.
    ///
    /// `evidence` is all the evidence so far.
    pub fn update(&mut self, evidence: &Evidence) -> Option<Cause> {
        let mut routes: BTreeMap<u32, Increment> = BTreeMap::new();
        let mut all = Increment::default();
        for (&(route, group), tally) in &evidence.tallies {
            let before = self.previous.tallies.get(&(route, group)).copied().unwrap_or_default();
            let added = tally.since(&before);
            routes.entry(route).or_default().add(group, &added);
            all.add(group, &added);
        }
        self.previous = evidence.clone();
        let mut found = None;
        for (route, answers) in &routes {
            let comparison = self.routes.entry(*route).or_default();
            found = found.or(comparison.update(Some(*route), answers));
        }
        found.or(self.all.update(None, &all))
    }
}
