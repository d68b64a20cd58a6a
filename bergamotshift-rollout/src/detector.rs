//! Tells a bad version from a sound one by what both answered over the same time.
//!
//! Each route has two sequential tests, one for failures and one for slow answers, and so have all routes together. A test
//! adds up how much more likely each answer of the new version is if that is bad, and never falls below zero, so that a
//! version that turns bad late is found as fast as one that is bad at once. What counts as usual is measured at the
//! version in force over the same time and route: a fault from which both suffer condemns neither.

use std::collections::BTreeMap;

use crate::evidence::Evidence;
use crate::evidence::Group;
use crate::evidence::LATENCY_CLASSES;
use crate::evidence::Tally;

/// How much more likely what was seen has to be of a bad version than of a sound one, as a logarithm.
const ODDS: f64 = 7.5;

/// What the answers of the version in force count for after each further look, and the newest of them.
const FADE: f64 = 0.92;
const FADE_NEWEST: f64 = 0.6;

/// Answers of the version in force that are assumed before any was seen.
const ASSUMED: f64 = 8.0;

/// The failures that are assumed among those.
const ASSUMED_BAD: f64 = 0.2;

/// The part of failures that a sound version may have beyond those of the version in force.
const FAILURES_SPARED: f64 = 0.03;

/// The part of all answers that a bad version fails at least, of those that the one in force does not fail.
const FAILURES_BAD: f64 = 0.22;

/// The part of slow answers of a sound version, beyond those of the version in force; its caches are cold.
const SLOW_SPARED: f64 = 0.15;

/// The part of slow answers of a bad version.
const SLOW_BAD: f64 = 0.6;

/// How many classes of pace an answer is slow beyond what nearly all answers of the version in force reach: twice as long.
const SLOWER: usize = 2;

/// The part of the answers of the version in force that are no slower than usual.
const USUAL: f64 = 0.8;

/// The part of the endpoints with answers that have to be bad: one endpoint that fails is no bad version.
const WITNESSES: f64 = 0.5;

/// Answers of one endpoint from which on it counts as a witness.
const HEARD: u32 = 4;

/// What a version was found bad by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It fails more often.
    Failures,
    /// It answers later.
    Slow,
}

/// Why a version was found bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cause {
    /// The sign.
    pub sign: Sign,
    /// The route, by its hash; `None` for all together.
    pub route: Option<u32>,
    /// Answers of the new version that counted.
    pub answers: u32,
    /// Those among them that were bad.
    pub bad: u32,
    /// The part that is usual at the version in force.
    pub usual: f64,
}

/// A sequential test.
#[derive(Clone, Copy, Debug, Default)]
struct Test {
    odds: f64,
    answers: u32,
    bad: u32,
}

impl Test {
    /// Takes answers in; `sound` and `faulty` are the parts of bad answers that the two kinds of versions give.
    fn take(&mut self, good: u32, bad: u32, sound: f64, faulty: f64) {
        self.odds += f64::from(bad) * (faulty / sound).ln();
        self.odds += f64::from(good) * ((1.0 - faulty) / (1.0 - sound)).ln();
        self.answers += good + bad;
        self.bad += bad;
        if self.odds <= 0.0 {
            *self = Self::default();
        }
    }
}

/// What is usual at the version in force, with the older answers faded.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    ended: f64,
    bad: f64,
    latencies: [f64; LATENCY_CLASSES],
    /// The newest answers alone, and the failures among them.
    newest: f64,
    newest_bad: f64,
}

impl Usual {
    fn take(&mut self, seen: &Tally) {
        self.ended = self.ended * FADE + f64::from(seen.ended());
        self.bad = self.bad * FADE + f64::from(seen.bad);
        self.newest = self.newest * FADE_NEWEST + f64::from(seen.ended());
        self.newest_bad = self.newest_bad * FADE_NEWEST + f64::from(seen.bad);
        for (own, seen) in self.latencies.iter_mut().zip(seen.latencies) {
            *own = *own * FADE + f64::from(seen);
        }
    }

    /// Returns the part of its answers that fail, lately or just now.
    ///
    /// Failure: both versions begin to fail, and what was usual in the last seconds stands for what is usual now. Symptom: a
    /// sound version is condemned for a fault from which both suffer.
    fn failures(&self) -> f64 {
        let lately = (self.bad + ASSUMED_BAD) / (self.ended + ASSUMED);
        let now = (self.newest_bad + ASSUMED_BAD) / (self.newest + ASSUMED);
        lately.max(now)
    }

    /// Returns the first class of pace that is slow; `None` before enough answers were seen.
    fn slow_from(&self) -> Option<usize> {
        let total: f64 = self.latencies.iter().sum();
        if total < ASSUMED {
            return None;
        }
        let mut sum = 0.0;
        let usual = self.latencies.iter().position(|count| {
            sum += count;
            sum >= total * USUAL
        });
        usual.map(|usual| usual + SLOWER)
    }

    /// Returns the part of its answers that are in a class or a slower one.
    fn beyond(&self, class: usize) -> f64 {
        let slow: f64 = self.latencies.iter().skip(class).sum();
        slow / self.latencies.iter().sum::<f64>().max(1.0)
    }
}

/// What came since the last look.
#[derive(Clone, Debug, Default)]
struct News {
    stable: Tally,
    canary: BTreeMap<u8, Tally>,
}

impl News {
    fn add(&mut self, group: Group, tally: &Tally) {
        match group {
            Group::Stable => self.stable.add(tally),
            Group::Canary(group) => self.canary.entry(group).or_default().add(tally),
        }
    }
}

/// What is kept of a route, or of all together.
#[derive(Clone, Debug, Default)]
struct Track {
    usual: Usual,
    failures: Test,
    slow: Test,
    /// The answers of each group of endpoints of the new version that count in the tests now.
    endpoints: BTreeMap<u8, Tally>,
}

impl Track {
    fn take(&mut self, route: Option<u32>, news: &News) -> Option<Cause> {
        self.usual.take(&news.stable);
        let mut total = Tally::default();
        for (group, tally) in &news.canary {
            self.endpoints.entry(*group).or_default().add(tally);
            total.add(tally);
        }
        let found = self.failing(route, &total).or_else(|| self.slowing(route, &total));
        self.settle();
        found
    }

    fn failing(&mut self, route: Option<u32>, seen: &Tally) -> Option<Cause> {
        let usual = self.usual.failures();
        let sound = (usual * 1.5 + FAILURES_SPARED).min(0.6);
        let faulty = sound + (1.0 - sound) * FAILURES_BAD;
        self.failures.take(seen.good, seen.bad, sound, faulty);
        let is_witness = |tally: &Tally| f64::from(tally.bad) > f64::from(tally.ended()) * sound;
        let heard = |tally: &Tally| tally.ended() >= HEARD || tally.bad > 1;
        let found = self.failures.odds >= ODDS && self.agree(heard, is_witness);
        found.then(|| cause(Sign::Failures, route, self.failures, usual))
    }

    fn slowing(&mut self, route: Option<u32>, seen: &Tally) -> Option<Cause> {
        let from = self.usual.slow_from()?;
        let usual = self.usual.beyond(from);
        let sound = (usual * 1.5 + SLOW_SPARED).min(0.5);
        let faulty = SLOW_BAD.max(sound + 0.2);
        let (quick, slow) = seen.latencies.split_at(from.min(LATENCY_CLASSES));
        self.slow.take(quick.iter().sum(), slow.iter().sum(), sound, faulty);
        let began = |tally: &Tally| tally.latencies.iter().sum::<u32>();
        let late = |tally: &Tally| tally.latencies.iter().skip(from).sum::<u32>();
        let is_witness = |tally: &Tally| f64::from(late(tally)) > f64::from(began(tally)) * sound;
        let found = self.slow.odds >= ODDS && self.agree(|tally| began(tally) >= HEARD, is_witness);
        found.then(|| cause(Sign::Slow, route, self.slow, usual))
    }

    /// Returns whether enough of the endpoints with answers are bad.
    fn agree(&self, heard: impl Fn(&Tally) -> bool, is_witness: impl Fn(&Tally) -> bool) -> bool {
        let heard = || self.endpoints.values().filter(|tally| heard(tally));
        let all = heard().count();
        let bad = heard().filter(|tally| is_witness(tally)).count();
        all > 0 && bad as f64 >= all as f64 * WITNESSES && (bad > 1 || all == 1)
    }

    /// Forgets which endpoints answered while no test suspects the version.
    fn settle(&mut self) {
        if self.failures.odds <= 0.0 && self.slow.odds <= 0.0 {
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

/// Tells a bad version from a sound one.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    seen: Evidence,
    routes: BTreeMap<u32, Track>,
    all: Track,
}

impl Detector {
    /// Forgets who answered so far, since other endpoints are looked at from now on.
    pub fn reset_tests(&mut self) {
        for track in self.routes.values_mut().chain([&mut self.all]) {
            track.failures = Test::default();
            track.slow = Test::default();
            track.endpoints.clear();
        }
    }

    /// Takes in all evidence so far, of which it has seen a part before; returns why the new version is bad, if it is.
    pub fn update(&mut self, evidence: &Evidence) -> Option<Cause> {
        let mut routes: BTreeMap<u32, News> = BTreeMap::new();
        let mut all = News::default();
        for (&(route, group), tally) in &evidence.tallies {
            let before = self.seen.tallies.get(&(route, group)).copied().unwrap_or_default();
            let news = tally.since(&before);
            routes.entry(route).or_default().add(group, &news);
            all.add(group, &news);
        }
        self.seen = evidence.clone();
        let mut found = None;
        for (route, news) in &routes {
            let track = self.routes.entry(*route).or_default();
            found = found.or(track.take(Some(*route), news));
        }
        found.or(self.all.take(None, &all))
    }
}
