//! Sizes of a service's requests: expected and actual work and cost.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;

use bergamotshift_config::config::Kind;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::quota::Cost;
use bergamotshift_route::estimate::Speed;

use crate::exchange::Work;

/// Amount of work to which a price refers, large enough for prices to be whole numbers.
const PRICE_UNIT_WORK: u64 = 1_000_000;

/// Maximum expected length of an answer, as a multiple of the mean length.
///
/// Callers set `max_tokens` far above the length of most answers.
const MAX_ANSWER_FACTOR: u64 = 4;

/// Assumed work of a request to a model before any was admitted.
const DEFAULT_WORK: f64 = 256.0;

/// Number of requests that replace the mean of the requests before them.
const AVERAGED_REQUESTS: f64 = 64.0;

/// Statistics of one service's requests: workers record them, the control thread updates the means.
///
/// Relaxed ordering is sufficient: a mean may be some requests old, and no other memory depends on it.
#[derive(Debug)]
pub(super) struct Size {
    kind: Kind,
    admitted: Sum,
    answered: Sum,
    mean_work: AtomicU64,
    mean_answer: AtomicU64,
    price: AtomicU64,
    demand: AtomicU64,
    endpoint_rate: AtomicU64,
}

impl Size {
    /// Creates the statistics of a service without requests.
    pub(super) fn new(kind: Kind) -> Self {
        Self {
            kind,
            admitted: Sum::default(),
            answered: Sum::default(),
            mean_work: AtomicU64::new(0),
            mean_answer: AtomicU64::new(0),
            price: AtomicU64::new(0),
            demand: AtomicU64::new(0),
            endpoint_rate: AtomicU64::new(0),
        }
    }

    pub(super) const fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the expected work of a request, in the units of the service's capacity.
    pub(super) fn expected_work(&self, work: &Work) -> u64 {
        match self.kind {
            Kind::Plain => 1,
            Kind::Model => {
                let prompt = f64::from(work.prompt_tokens) * prompt_weight();
                prompt.ceil() as u64 + self.expected_answer(work).max(1)
            }
        }
    }

    /// Returns the expected cost of a request to its organisation.
    pub(super) fn expected_cost(&self, work: &Work) -> Cost {
        let tokens = match self.kind {
            Kind::Plain => 0,
            Kind::Model => u64::from(work.prompt_tokens) + self.expected_answer(work),
        };
        let spend = self.spend(self.expected_work(work));
        Cost { tokens, spend }
    }

    /// Returns the actual cost of a request, given the number of tokens in its answer.
    pub(super) fn actual_cost(&self, work: &Work, answer: u64) -> Cost {
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
        let actual_work = match self.kind {
            Kind::Plain => self.expected_work(&work),
            Kind::Model => prompt.ceil() as u64 + answer,
        };
        let spend = self.spend(actual_work);
        Cost { tokens, spend }
    }

    /// Records the work of an admitted request.
    pub(super) fn record_admitted(&self, work: u64) {
        self.admitted.add(work);
    }

    /// Records the number of tokens of an answer that ended.
    pub(super) fn record_answered(&self, tokens: u64) {
        self.answered.add(tokens);
    }

    /// Updates the means and returns the mean work of a request.
    pub(super) fn update_means(&self) -> f64 {
        self.answered.update_mean(&self.mean_answer);
        self.admitted.update_mean(&self.mean_work);
        match (self.mean_work.load(Relaxed), self.kind) {
            (0, Kind::Model) => DEFAULT_WORK,
            (0, Kind::Plain) => 1.0,
            (mean, _) => mean as f64,
        }
    }

    /// Sets the demand for work and the average work of one endpoint, both per second.
    pub(super) fn set_demand_and_rate(&self, demand: f64, endpoint_rate: f64) {
        self.demand.store(demand.to_bits(), Relaxed);
        self.endpoint_rate.store(endpoint_rate.to_bits(), Relaxed);
    }

    /// Returns the demand, in units of work per second.
    pub(super) fn demand(&self) -> f64 {
        f64::from_bits(self.demand.load(Relaxed))
    }

    /// Returns the average work per second of one endpoint, or 0 if none has reported.
    pub(super) fn endpoint_rate(&self) -> f64 {
        f64::from_bits(self.endpoint_rate.load(Relaxed))
    }

    /// Sets the price of work from the price per hour of endpoints with this capacity, in units of work per second.
    pub(super) fn set_price(&self, per_hour: Price, capacity: f64) {
        const SECONDS_PER_HOUR: f64 = 3_600.0;
        let price = per_hour.as_micros() as f64 * PRICE_UNIT_WORK as f64 / (capacity * SECONDS_PER_HOUR);
        self.price.store(price as u64, Relaxed);
    }

    /// Returns the expected number of tokens of an answer.
    fn expected_answer(&self, work: &Work) -> u64 {
        let bound = u64::from(work.answer_tokens);
        match self.mean_answer.load(Relaxed) {
            0 => bound,
            mean => bound.min(mean.saturating_mul(MAX_ANSWER_FACTOR)),
        }
    }

    fn spend(&self, work: u64) -> Price {
        let price = self.price.load(Relaxed);
        Price::from_micros(work.saturating_mul(price).div_ceil(PRICE_UNIT_WORK))
    }
}

/// Returns the engine time of a prompt token as a fraction of that of an answer token.
pub(super) fn prompt_weight() -> f64 {
    let speed = Speed::REFERENCE;
    f64::from(speed.prompt_micros(1.0) / speed.token_micros())
}

/// Count and total of the amounts added since the last update of a mean.
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

    /// Moves a mean towards the mean of the amounts added since the last call.
    ///
    /// A mean of 0 is unset and is replaced.
    fn update_mean(&self, mean: &AtomicU64) {
        let count = self.count.swap(0, Relaxed);
        let total = self.total.swap(0, Relaxed);
        if count == 0 {
            return;
        }
        let new = total as f64 / count as f64;
        let weight = (count as f64 / AVERAGED_REQUESTS).min(1.0);
        let next = match mean.load(Relaxed) {
            0 => new,
            old => old as f64 + (new - old as f64) * weight,
        };
        mean.store((next.round() as u64).max(1), Relaxed);
    }
}
