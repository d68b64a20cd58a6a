//! What the endpoints of two versions answered.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// How many classes of pace are told apart.
pub const LATENCY_CLASSES: usize = 12;

/// How many groups the endpoints of a new version are counted in.
const CANARIES: u64 = 16;

/// Each class of pace reaches this many times as far as the one before.
const STEP: f64 = 1.5;

/// Where the first class ends, in times of what was expected.
const FIRST: f64 = 0.25;

/// Whose answers are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Group {
    /// All endpoints of the version in force.
    Stable,
    /// A few endpoints of the new version, by a part of their hashes.
    Canary(u8),
}

impl Group {
    /// Returns the group of an endpoint of the new version.
    ///
    /// Failure: each endpoint is counted by itself, and entries tell each other thousands of figures once all requests move.
    /// Symptom: what they tell fills the links of small VMs. A canary has few endpoints, so few share a group.
    pub const fn canary(hash: u64) -> Self {
        Self::Canary((hash % CANARIES) as u8)
    }
}

/// Something that was seen of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It came whole, and tells no failure.
    Good,
    /// It tells a failure, broke off or cannot be used.
    Bad,
    /// It began after this many times the expected time.
    Latency(f64),
}

/// Answers by what was seen of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Tally {
    /// Answers that came whole.
    pub good: u32,
    /// Failures.
    pub bad: u32,
    /// Answers that began, by their class of pace.
    #[serde(rename = "paces")]
    pub latencies: [u32; LATENCY_CLASSES],
}

impl Tally {
    /// Counts an answer.
    pub fn record(&mut self, answer: Answer) {
        match answer {
            Answer::Good => self.good += 1,
            Answer::Bad => self.bad += 1,
            Answer::Latency(times) => self.latencies[class(times)] += 1,
        }
    }

    /// Returns how many answers ended.
    pub const fn ended(&self) -> u32 {
        self.good + self.bad
    }

    /// Returns how many answers began, or failed before.
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

    /// Returns what came since an earlier tally.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(before.good),
            bad: self.bad.saturating_sub(before.bad),
            latencies: core::array::from_fn(|class| self.latencies[class].saturating_sub(before.latencies[class])),
        }
    }
}

/// Returns the class of an answer that began after so many times the expected time.
fn class(times: f64) -> usize {
    let steps = (times / FIRST).max(1.0).ln() / STEP.ln();
    (steps.ceil() as usize).min(LATENCY_CLASSES - 1)
}

/// What one entry, or all together, saw of the answers since an order was given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Evidence {
    /// The number of the order.
    pub order: u64,
    /// The answers by route, named by a hash, and by who gave them.
    pub tallies: BTreeMap<(u32, Group), Tally>,
}

impl Evidence {
    /// Makes evidence of no answers yet.
    pub const fn new(order: u64) -> Self {
        Self {
            order,
            tallies: BTreeMap::new(),
        }
    }

    /// Counts an answer.
    pub fn record(&mut self, route: u32, group: Group, answer: Answer) {
        self.tallies.entry((route, group)).or_default().record(answer);
    }

    /// Adds what another entry saw of the same order.
    pub fn add(&mut self, other: &Self) {
        if other.order != self.order {
            return;
        }
        for (key, tally) in &other.tallies {
            self.tallies.entry(*key).or_default().add(tally);
        }
    }

    /// Returns all answers of the version in force, or of the new one.
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
