//! What no policy can beat: a clairvoyant bound on cost.
//!
//! The bound knows all requests beforehand and relaxes everything else. Each distinct block of a prompt is computed once
//! in the whole fleet, as if one endless cache served every engine, and costs the time of its tokens alone. Each generated token takes its share of a step with a full batch, which is the least that any
//! batch allows. Prompts and tokens each go to the cheapest VMs of the site's offer, as if the other did not exist; a VM
//! works from the first arrival until the last deadline and is paid for just the time that it works. Starts, notices,
//! lag, zones' shares and targets cost nothing. Each of these only takes cost away, so every real schedule that answers
//! all requests costs at least as much.

use rustc_hash::FxHashSet;

use crate::scenario::Scenario;
use crate::site::Offer;
use crate::workload::Request;
use crate::workload::Service;

/// The bound of one scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The least cost of all model requests, in currency units.
    pub cost: f64,
    /// Millions of tokens in all answers of model requests.
    pub tokens_millions: f64,
}

impl Bound {
    /// Computes the bound of a scenario's workload on its site.
    pub fn of(scenario: &Scenario) -> Self {
        const MILLION: f64 = 1e6;
        let workload = scenario.workload();
        let site = scenario.load.site();
        let requests = workload.draw(scenario.seed);
        let models = || requests.iter().filter(|request| request.service == Service::Model);
        let prompt = distinct_prompt_tokens(models(), workload.block_tokens);
        let answer: u64 = models().map(|request| u64::from(request.answer)).sum();
        let last = models().map(|request| request.deadline.as_micros()).max().unwrap_or(0) as f64 / MILLION;
        let offers: Vec<Offer> = site
            .offers
            .into_iter()
            .filter(|offer| offer.service == Service::Model)
            .collect();
        let prompts = cheapest(&offers, prompt as f64, last, |offer| {
            f64::from(offer.speed.prompt_micros(1.0)) / MILLION
        });
        let answers = cheapest(&offers, answer as f64, last, |offer| {
            f64::from(offer.speed.token_micros()) / MILLION
        });
        Self {
            cost: prompts + answers,
            tokens_millions: answer as f64 / MILLION,
        }
    }

    /// Returns the least cost per million tokens.
    pub fn cost_per_million(&self) -> f64 {
        self.cost / self.tokens_millions.max(f64::MIN_POSITIVE)
    }
}

/// Returns the prompt tokens that even an endless shared cache has to compute.
fn distinct_prompt_tokens<'a>(requests: impl Iterator<Item = &'a Request>, block_tokens: u32) -> u64 {
    let mut known = FxHashSet::default();
    let mut tokens = 0;
    for request in requests {
        tokens += u64::from(request.prompt % block_tokens);
        for block in request.chain.blocks(request.prompt, block_tokens) {
            tokens += u64::from(known.insert(block)) * u64::from(block_tokens);
        }
        known.extend(request.chain.blocks(request.prompt + request.answer, block_tokens));
    }
    tokens
}

/// Returns the cost of `tokens` on the cheapest VMs, each of which works for `seconds` at most.
fn cheapest(offers: &[Offer], tokens: f64, seconds: f64, seconds_per_token: impl Fn(&Offer) -> f64) -> f64 {
    const SECONDS_PER_HOUR: f64 = 3_600.0;
    const MILLION: f64 = 1e6;
    let price = |offer: &Offer| offer.price.as_micros() as f64 / MILLION / SECONDS_PER_HOUR * seconds_per_token(offer);
    let mut order: Vec<&Offer> = offers.iter().collect();
    order.sort_by(|left, right| price(left).total_cmp(&price(right)));
    let mut left = tokens;
    let mut cost = 0.0;
    for offer in order {
        let most = f64::from(offer.count) * seconds / seconds_per_token(offer);
        let taken = left.min(most);
        cost += taken * price(offer);
        left -= taken;
    }
    cost
}
