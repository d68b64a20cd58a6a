//! Counts of the answers of both versions.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Number of latency classes.
pub const LATENCY_CLASSES: usize = 12;

/// Number of groups in which the endpoints of a new version are counted.
const CANARY_GROUPS: u64 = 16;

/// Ratio between the upper bounds of two successive latency classes.
const CLASS_RATIO: f64 = 1.5;

/// Upper bound of the first latency class, as a multiple of the expected time.
const FIRST_CLASS_BOUND: f64 = 0.25;

/// Group of endpoints whose answers are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Group {
    /// All endpoints of the version in force.
    Stable,
    /// Some endpoints of the new version, by hash.
    Canary(u8),
}

impl Group {
    /// Returns the group of an endpoint of the new version.
    ///
    /// If each endpoint were counted separately, entries would exchange thousands of figures once all requests move,
    /// which would fill the links of small VMs. A canary has few endpoints, so few of them share a group.
    pub const fn canary(hash: u64) -> Self {
        Self::Canary((hash % CANARY_GROUPS) as u8)
    }
}

/// Observation about an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The answer was complete and reported no failure.
    Good,
    /// The answer reported a failure, was incomplete or was unusable.
    Bad,
    /// The answer began after this multiple of the expected time.
    Latency(f64),
}

/// Counts of answers by observation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Tally {
    /// Complete answers without a failure.
    pub good: u32,
    /// Failed, incomplete or unusable answers.
    pub bad: u32,
    /// Answers that began, by latency class.
    #[serde(rename = "paces")]
    pub latencies: [u32; LATENCY_CLASSES],
}

impl Tally {
    /// Counts an observation.
    pub fn record(&mut self, answer: Answer) {
        match answer {
            Answer::Good => self.good += 1,
            Answer::Bad => self.bad += 1,
            Answer::Latency(ratio) => self.latencies[latency_class(ratio)] += 1,
        }
    }

    /// Returns the number of answers that ended.
    pub const fn ended(&self) -> u32 {
        self.good + self.bad
    }

    /// Returns the number of answers that began or failed before they began.
    pub fn began(&self) -> u32 {
        let began: u32 = self.latencies.iter().sum();
        began.max(self.ended())
    }

    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        for (own, other) in self.latencies.iter_mut().zip(other.latencies) {
            *own += other;
        }
    }

    /// Returns the answers since an earlier tally.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(before.good),
            bad: self.bad.saturating_sub(before.bad),
            latencies: core::array::from_fn(|class| self.latencies[class].saturating_sub(before.latencies[class])),
        }
    }
}

/// Returns the latency class of an answer that began after a multiple of the expected time.
fn latency_class(ratio: f64) -> usize {
    let steps = (ratio / FIRST_CLASS_BOUND).max(1.0).ln() / CLASS_RATIO.ln();
    (steps.ceil() as usize).min(LATENCY_CLASSES - 1)
}

/// Answers observed by one entry, or by all together, since an order was given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Evidence {
    /// Number of the order.
    pub order: u64,
    /// Answers by the hash of the route and by the group of endpoints.
    pub tallies: BTreeMap<(u32, Group), Tally>,
}

impl Evidence {
    /// Creates evidence without answers.
    pub const fn new(order: u64) -> Self {
        Self {
            order,
            tallies: BTreeMap::new(),
        }
    }

    /// Counts an observation of an answer.
    pub fn record(&mut self, route: u32, group: Group, answer: Answer) {
        self.tallies.entry((route, group)).or_default().record(answer);
    }

    /// Adds the evidence of another entry if it belongs to the same order.
    pub fn add(&mut self, other: &Self) {
        if other.order != self.order {
            return;
        }
        for (key, tally) in &other.tallies {
            self.tallies.entry(*key).or_default().add(tally);
        }
    }

    /// Returns all answers of the new version if `is_canary` is set, otherwise those of the version in force.
    pub fn total(&self, is_canary: bool) -> Tally {
        let mut total = Tally::default();
        for ((_, group), tally) in &self.tallies {
            if (*group != Group::Stable) == is_canary {
                total.add(tally);
            }
        }
        total
    }
}
