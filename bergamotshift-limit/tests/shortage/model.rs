//! Engines that read prompts one after the other, and callers that come back once.

use core::cmp::Reverse;
use core::time::Duration;
use std::collections::BinaryHeap;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::admission::shortage::Asked;
use bergamotshift_limit::admission::shortage::Bound;
use bergamotshift_limit::admission::shortage::Controller;
use bergamotshift_limit::admission::shortage::Request;
use bergamotshift_limit::admission::shortage::Settings;
use bergamotshift_limit::admission::shortage::Verdict;
use bergamotshift_limit::returns;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub const ENGINES: usize = 8;
/// Mean time to read a prompt; prompts differ from it by half at most.
const READ: f64 = 0.12;
/// Seconds of arrivals.
pub const LENGTH: f64 = 60.0;

/// Kind of requests; its index is its urgency.
#[derive(Clone, Copy)]
pub struct Kind {
    pub objective: Duration,
    pub timeout: Duration,
    pub pause: Duration,
}

const fn kind(objective: u64, timeout: u64, pause: u64) -> Kind {
    Kind {
        objective: Duration::from_millis(objective),
        timeout: Duration::from_secs(timeout),
        pause: Duration::from_millis(pause),
    }
}

/// Kinds of deployments A and B.
pub const A: [Kind; 3] = [kind(800, 12, 800), kind(1_000, 6, 800), kind(2_500, 10, 800)];
pub const B: [Kind; 3] = [kind(1_000, 6, 600), kind(1_200, 12, 600), kind(800, 12, 600)];

impl Kind {
    fn leaves_after(&self) -> Duration {
        let longest = (self.objective * 4).max(self.pause * 8);
        longest.max(Duration::from_secs(2)).min(self.timeout)
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Rule {
    /// Admits whoever is expected to begin within three quarters of the time after which callers leave.
    Present,
    Shortage,
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub organisation: usize,
    pub kind: usize,
    pub arrives: Instant,
    read: Duration,
    /// Time after which it comes back, whatever it was told.
    pub ignores: Option<Duration>,
    /// Time that it was told when it was refused first.
    pub told: Option<Duration>,
    pub refusals: u32,
    /// Time from its first attempt to its first event, if it did not leave before.
    pub began: Option<Duration>,
}

impl Caller {
    pub fn is_on_time(&self, kinds: &[Kind; 3]) -> bool {
        self.began.is_some_and(|began| began <= kinds[self.kind].objective)
    }
}

/// Returns the arrivals of one organisation's requests of one kind, at a load in multiples of all engines' capacity.
pub fn arrivals(organisation: usize, kind: usize, load: f64, from: f64, to: f64) -> Vec<Caller> {
    let mut random = Pcg64Mcg::seed_from_u64((organisation * 10 + kind) as u64);
    let rate = load * ENGINES as f64 / READ;
    let mut now = from;
    let mut callers = Vec::new();
    loop {
        now -= (1.0 - random.random::<f64>()).ln() / rate;
        if now >= to {
            return callers;
        }
        callers.push(Caller {
            organisation,
            kind,
            arrives: Instant::ZERO + Duration::from_secs_f64(now),
            read: Duration::from_secs_f64(READ * random.random_range(0.5..1.5)),
            ignores: None,
            told: None,
            refusals: 0,
            began: None,
        });
    }
}

/// Zone with its engines.
pub struct Site {
    pub kinds: [Kind; 3],
    pub rule: Rule,
    /// Time at which half of the engines vanish; their requests are sent to others.
    pub loss: Option<Instant>,
    /// Time at which the keeper is replaced by a successor.
    pub successor: Option<Instant>,
}

impl Site {
    pub fn new(kinds: [Kind; 3], rule: Rule) -> Self {
        Self {
            kinds,
            rule,
            loss: None,
            successor: None,
        }
    }

    /// Plays arrivals, and returns the callers with what became of them.
    pub fn play(&self, mut callers: Vec<Caller>) -> Vec<Caller> {
        let mut controller = new_controller();
        let mut engines = vec![Instant::ZERO; ENGINES];
        // Requests that an engine has not read: caller, attempt, engine and end of reading.
        let mut queued: Vec<(usize, Instant, usize, Instant)> = Vec::new();
        let mut events: BinaryHeap<_> = (0..callers.len())
            .map(|index| Reverse((callers[index].arrives, index)))
            .collect();
        let (mut loss, mut successor) = (self.loss, self.successor);
        while let Some(Reverse((now, index))) = events.pop() {
            queued.retain(|(_, _, _, ends)| *ends > now);
            if loss.take_if(|at| *at <= now).is_some() {
                engines.truncate(ENGINES / 2);
                let orphans: Vec<_> = queued.extract_if(.., |one| one.2 >= ENGINES / 2).collect();
                for (index, attempt, ..) in orphans {
                    queued.push(self.send(&mut engines, now, &mut callers[index], index, attempt));
                }
            }
            if successor.take_if(|at| *at <= now).is_some() {
                controller = new_controller();
            }
            let wait = engines.iter().min().expect("engines are left").since(now);
            match self.decide(&mut controller, now, &callers[index], index, wait, engines.len()) {
                None => queued.push(self.send(&mut engines, now, &mut callers[index], index, now)),
                Some(told) => {
                    let caller = &mut callers[index];
                    caller.refusals += 1;
                    let left = self.kinds[caller.kind]
                        .timeout
                        .saturating_sub(now.since(caller.arrives));
                    if caller.refusals == 1 && told <= left / 3 {
                        caller.told = Some(told);
                        events.push(Reverse((now + caller.ignores.unwrap_or(told), index)));
                    }
                }
            }
        }
        callers
    }

    /// Sends a request to the engine that is free first.
    fn send(
        &self,
        engines: &mut [Instant],
        now: Instant,
        caller: &mut Caller,
        index: usize,
        attempt: Instant,
    ) -> (usize, Instant, usize, Instant) {
        let engine = (0..engines.len())
            .min_by_key(|engine| engines[*engine])
            .expect("engines are left");
        let ends = engines[engine].max(now) + caller.read;
        engines[engine] = ends;
        let is_there = ends.since(attempt) <= self.kinds[caller.kind].leaves_after();
        caller.began = is_there.then(|| ends.since(caller.arrives));
        (index, attempt, engine, ends)
    }

    /// Returns the time that a refused caller is told.
    fn decide(
        &self,
        controller: &mut Controller,
        now: Instant,
        caller: &Caller,
        index: usize,
        wait: Duration,
        engines: usize,
    ) -> Option<Duration> {
        let kind = &self.kinds[caller.kind];
        let latest = kind.leaves_after().mul_f64(0.75);
        if self.rule == Rule::Present {
            let late = (wait + caller.read).checked_sub(latest).filter(|late| !late.is_zero());
            return late.map(|late| (late + Duration::from_millis(400)).min(Duration::from_secs(2)));
        }
        let organisation = name::Organisation::new(caller.organisation.to_string());
        let routes = (0..).zip(self.kinds.iter().map(|kind| kind.objective));
        let request = Request {
            organisation: Some(&organisation),
            weight: 1.0,
            bound: Bound::of(routes, caller.kind as u8),
            wait,
            due: Duration::ZERO,
            read: caller.read,
            objective: kind.objective,
            objective_left: kind.objective,
            latest,
            is_return: false,
        };
        let asked = Asked {
            key: Fingerprint::new(index as u128),
            urgency: caller.kind as u8,
            engines: engines as f64,
            longest: kind.timeout.saturating_sub(now.since(caller.arrives)) / 3,
        };
        match controller.decide(now, &request, &asked).verdict {
            Verdict::Admitted => None,
            Verdict::Refused(refusal) => Some(refusal.retry_after),
        }
    }

    /// Returns the total value of the requests: 1 within the objective, a tenth later.
    pub fn value(&self, callers: &[Caller]) -> f64 {
        let on_time = callers.iter().filter(|caller| caller.is_on_time(&self.kinds)).count();
        let begun = callers.iter().filter(|caller| caller.began.is_some()).count();
        on_time as f64 + 0.1 * (begun - on_time) as f64
    }
}

fn new_controller() -> Controller {
    Controller::new(Settings::default(), returns::Settings::default())
}

/// Returns the fraction of the callers for which a condition holds.
pub fn fraction<'a>(callers: impl Iterator<Item = &'a Caller>, holds: impl Fn(&Caller) -> bool) -> f64 {
    let held: Vec<_> = callers.map(|caller| f64::from(u8::from(holds(caller)))).collect();
    held.iter().sum::<f64>() / held.len().max(1) as f64
}
