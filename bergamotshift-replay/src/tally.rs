//! Counts what a run did, and the report made of it.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::scenario::Scenario;
use crate::workload::Request;
use crate::workload::Service;

/// What one run measured.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The run.
    pub scenario: Scenario,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that did not end well: refused, or not whole when the run ended.
    pub failed: u64,
    /// Share of urgent requests whose first token and time between tokens were in target.
    pub urgent_in_target: f64,
    /// Share of urgent model requests in target.
    pub urgent_model_in_target: f64,
    /// The 95th of 100 times to the first token of urgent model requests, in milliseconds.
    pub first_token_p95_ms: f64,
    /// The 95th of 100 mean times between tokens of urgent model requests, in milliseconds.
    pub between_tokens_p95_ms: f64,
    /// Answers that were whole only after their deadline, or never.
    pub deadline_misses: u64,
    /// What all held VMs cost, in currency units.
    pub cost: f64,
    /// Millions of tokens in answers that met their target or, for work that may wait, their deadline.
    pub tokens_in_target_millions: f64,
    /// Cost per million of those tokens.
    pub cost_per_million: f64,
    /// Prompt tokens computed though some engine had computed them before, in millions.
    pub recomputed_prompt_millions: f64,
    /// Tokens computed again because a stream changed its endpoint, in millions.
    pub recomputed_moved_millions: f64,
    /// Share of prompt tokens that caches spared.
    pub cache_share: f64,
    /// Jain's index over the organisations' shares of urgent requests in target; 1 is even.
    pub fairness: f64,
    /// Hours of VMs held.
    pub vm_hours: f64,
    /// KV caches moved.
    pub moves: u64,
    /// Endpoints that crashed unannounced.
    pub crashes: u64,
}

impl Report {
    /// Returns all tokens computed a second time, in millions.
    pub fn recomputed_millions(&self) -> f64 {
        self.recomputed_prompt_millions + self.recomputed_moved_millions
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    met: u64,
    all: u64,
}

impl Share {
    fn note(&mut self, met: bool) {
        self.all += 1;
        self.met += u64::from(met);
    }

    fn value(self) -> f64 {
        if self.all == 0 {
            1.0
        } else {
            self.met as f64 / self.all as f64
        }
    }
}

/// Counts a run.
#[derive(Clone, Debug)]
pub struct Tally {
    urgent: Share,
    urgent_model: Share,
    organisations: BTreeMap<u8, Share>,
    first: Histogram<u64>,
    between: Histogram<u64>,
    tokens: u64,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that did not end well.
    pub failed: u64,
    /// Missed deadlines.
    pub misses: u64,
    /// Prompt tokens asked for.
    pub prompt: u64,
    /// Prompt tokens found in a cache.
    pub cached: u64,
    /// Prompt tokens computed again.
    pub recomputed: u64,
    /// Tokens computed again after a change of endpoint.
    pub moved: u64,
    /// KV caches moved.
    pub moves: u64,
    /// Crashes.
    pub crashes: u64,
}

impl Default for Tally {
    fn default() -> Self {
        const DIGITS: u8 = 3;
        const LONGEST_MICROS: u64 = 3_600_000_000;
        let histogram = || Histogram::new_with_max(LONGEST_MICROS, DIGITS).expect("the bounds are allowed");
        Self {
            urgent: Share::default(),
            urgent_model: Share::default(),
            organisations: BTreeMap::new(),
            first: histogram(),
            between: histogram(),
            tokens: 0,
            requests: 0,
            failed: 0,
            misses: 0,
            prompt: 0,
            cached: 0,
            recomputed: 0,
            moved: 0,
            moves: 0,
            crashes: 0,
        }
    }
}

impl Tally {
    /// Counts a whole answer.
    pub fn done(&mut self, request: &Request, first: Instant, now: Instant) {
        let first_micros = first.since(request.at).as_micros() as u64;
        let gaps = u64::from(request.answer.saturating_sub(1));
        let between_micros = (now.since(first).as_micros() as u64).checked_div(gaps).unwrap_or(0);
        let in_target = first_micros <= request.first_token.as_micros() as u64
            && between_micros <= request.between_tokens.as_micros() as u64;
        let in_time = now <= request.deadline;
        self.misses += u64::from(!in_time);
        if request.urgency == Urgency::Urgent {
            self.note_urgent(request, in_target);
            if request.service == Service::Model {
                self.first.saturating_record(first_micros);
                self.between.saturating_record(between_micros);
            }
        }
        let counts = if request.urgency == Urgency::Urgent {
            in_target
        } else {
            in_time
        };
        if counts && request.service == Service::Model {
            self.tokens += u64::from(request.answer);
        }
    }

    /// Counts a request without a whole answer.
    pub fn lost(&mut self, request: &Request) {
        self.failed += 1;
        self.misses += 1;
        if request.urgency == Urgency::Urgent {
            self.note_urgent(request, false);
        }
    }

    fn note_urgent(&mut self, request: &Request, met: bool) {
        self.urgent.note(met);
        self.organisations.entry(request.organisation).or_default().note(met);
        if request.service == Service::Model {
            self.urgent_model.note(met);
        }
    }

    /// Makes the report.
    pub fn report(&self, scenario: Scenario, cost_micros: f64, vm_hours: f64) -> Report {
        const MILLION: f64 = 1e6;
        const P95: f64 = 0.95;
        const MICROS_PER_MILLI: f64 = 1e3;
        let cost = cost_micros / MILLION;
        let tokens = self.tokens as f64 / MILLION;
        Report {
            scenario,
            requests: self.requests,
            failed: self.failed,
            urgent_in_target: self.urgent.value(),
            urgent_model_in_target: self.urgent_model.value(),
            first_token_p95_ms: self.first.value_at_quantile(P95) as f64 / MICROS_PER_MILLI,
            between_tokens_p95_ms: self.between.value_at_quantile(P95) as f64 / MICROS_PER_MILLI,
            deadline_misses: self.misses,
            cost,
            tokens_in_target_millions: tokens,
            cost_per_million: cost / tokens.max(f64::MIN_POSITIVE),
            recomputed_prompt_millions: self.recomputed as f64 / MILLION,
            recomputed_moved_millions: self.moved as f64 / MILLION,
            cache_share: self.cached as f64 / self.prompt.max(1) as f64,
            fairness: self.fairness(),
            vm_hours,
            moves: self.moves,
            crashes: self.crashes,
        }
    }

    fn fairness(&self) -> f64 {
        let shares: Vec<f64> = self.organisations.values().map(|share| share.value()).collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        if squares == 0.0 {
            0.0
        } else {
            sum * sum / (shares.len() as f64 * squares)
        }
    }
}
