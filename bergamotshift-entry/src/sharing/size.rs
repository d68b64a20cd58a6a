//! How large a service's requests turn out to be.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;

use bergamotshift_config::config::Kind;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::quota::Cost;
use bergamotshift_route::estimate::Speed;

use crate::exchange::Work;

/// The work by which a price is given, so that it is a whole number.
const PRICED_WORK: u64 = 1_000_000;

/// Callers bound their answers far above what comes; an answer is taken to have at most this many times the mean.
const LONGEST_ANSWER: u64 = 4;

/// The work that a model's request is taken to be before any came.
const FIRST_WORK: f64 = 256.0;

/// So many requests replace what was learnt of those before them.
const MEMORY: f64 = 64.0;

/// The sizes of one service's requests: workers count, the control thread draws means.
///
/// Relaxed ordering is enough: a mean that is some requests old does as well, and no other memory depends on it.
#[derive(Debug)]
pub(super) struct Size {
    kind: Kind,
    admitted: Sum,
    answered: Sum,
    mean_work: AtomicU64,
    mean_answer: AtomicU64,
    price: AtomicU64,
    demand: AtomicU64,
    rate: AtomicU64,
}

impl Size {
    /// Makes the size of a service that has served nothing yet.
    pub(super) fn new(kind: Kind) -> Self {
        Self {
            kind,
            admitted: Sum::default(),
            answered: Sum::default(),
            mean_work: AtomicU64::new(0),
            mean_answer: AtomicU64::new(0),
            price: AtomicU64::new(0),
            demand: AtomicU64::new(0),
            rate: AtomicU64::new(0),
        }
    }

    pub(super) const fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns how much work a request is expected to be, in the units of the service's capacity.
    pub(super) fn work(&self, work: &Work) -> u64 {
        match self.kind {
            Kind::Plain => 1,
            Kind::Model => {
                let prompt = f64::from(work.prompt_tokens) * prompt_weight();
                prompt.ceil() as u64 + self.answer(work).max(1)
            }
        }
    }

    /// Returns what a request is expected to cost its organisation.
    pub(super) fn cost(&self, work: &Work) -> Cost {
        let tokens = match self.kind {
            Kind::Plain => 0,
            Kind::Model => u64::from(work.prompt_tokens) + self.answer(work),
        };
        let spend = self.spend(self.work(work));
        Cost { tokens, spend }
    }

    /// Returns what a request did cost, given the tokens of its answer.
    pub(super) fn used(&self, work: &Work, answer: u64) -> Cost {
        let answer_tokens = u32::try_from(answer).unwrap_or(u32::MAX);
        let prompt_tokens = work.prompt_tokens;
        let work = Work {
            prompt_tokens,
            answer_tokens,
            ..Work::default()
        };
        let tokens = match self.kind {
            Kind::Plain => 0,
            Kind::Model => u64::from(prompt_tokens) + answer,
        };
        let prompt = f64::from(prompt_tokens) * prompt_weight();
        let done = match self.kind {
            Kind::Plain => self.work(&work),
            Kind::Model => prompt.ceil() as u64 + answer,
        };
        let spend = self.spend(done);
        Cost { tokens, spend }
    }

    /// Counts a request that is let in.
    pub(super) fn admitted(&self, work: u64) {
        self.admitted.add(work);
    }

    /// Counts a request whose answer came to its end.
    pub(super) fn answered(&self, tokens: u64) {
        self.answered.add(tokens);
    }

    /// Draws the means anew and returns the mean work of a request.
    pub(super) fn tick(&self) -> f64 {
        self.answered.fold(&self.mean_answer);
        self.admitted.fold(&self.mean_work);
        match (self.mean_work.load(Relaxed), self.kind) {
            (0, Kind::Model) => FIRST_WORK,
            (0, Kind::Plain) => 1.0,
            (mean, _) => mean as f64,
        }
    }

    /// Sets the work asked for and what one endpoint does, both per second.
    pub(super) fn set_demand_and_rate(&self, demand: f64, rate: f64) {
        self.demand.store(demand.to_bits(), Relaxed);
        self.rate.store(rate.to_bits(), Relaxed);
    }

    /// Returns the work asked for per second.
    pub(super) fn demand(&self) -> f64 {
        f64::from_bits(self.demand.load(Relaxed))
    }

    /// Returns the work that one endpoint does per second, or nothing when none has reported.
    pub(super) fn rate(&self) -> f64 {
        f64::from_bits(self.rate.load(Relaxed))
    }

    /// Sets what the endpoints cost per hour that do this much work per second.
    pub(super) fn set_price(&self, per_hour: Price, capacity: f64) {
        const SECONDS_PER_HOUR: f64 = 3_600.0;
        let price = per_hour.as_micros() as f64 * PRICED_WORK as f64 / (capacity * SECONDS_PER_HOUR);
        self.price.store(price as u64, Relaxed);
    }

    fn answer(&self, work: &Work) -> u64 {
        let bound = u64::from(work.answer_tokens);
        match self.mean_answer.load(Relaxed) {
            0 => bound,
            mean => bound.min(mean.saturating_mul(LONGEST_ANSWER)),
        }
    }

    fn spend(&self, work: u64) -> Price {
        let price = self.price.load(Relaxed);
        Price::from_micros(work.saturating_mul(price).div_ceil(PRICED_WORK))
    }
}

/// Returns the part of an answer token's engine time that a prompt's token takes.
pub(super) fn prompt_weight() -> f64 {
    let speed = Speed::REFERENCE;
    f64::from(speed.prompt_micros(1.0) / speed.token_micros())
}

/// A number of things and their sum since the last look.
#[derive(Debug, Default)]
struct Sum {
    count: AtomicU64,
    total: AtomicU64,
}

impl Sum {
    fn add(&self, amount: u64) {
        self.count.fetch_add(1, Relaxed);
        self.total.fetch_add(amount, Relaxed);
    }

    /// Moves a mean towards that of what was added since the last call; a mean of none starts there.
    fn fold(&self, mean: &AtomicU64) {
        let count = self.count.swap(0, Relaxed);
        let total = self.total.swap(0, Relaxed);
        if count == 0 {
            return;
        }
        let new = total as f64 / count as f64;
        let weight = (count as f64 / MEMORY).min(1.0);
        let next = match mean.load(Relaxed) {
            0 => new,
            old => old as f64 + (new - old as f64) * weight,
        };
        mean.store((next.round() as u64).max(1), Relaxed);
    }
}
