//! Target, then cost: the cheapest endpoint among those that meet the latency target.
//!
//! The cost of a request is its engine time, including the computation of uncached prompt tokens, at the price of the
//! endpoint's VM, plus the expected cost of a reclaim. When no endpoint meets the target of urgent work, the one that
//! comes closest is chosen. Deferrable work waits until an endpoint has spare capacity or its deadline is near.

use core::time::Duration;

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;
use rand_pcg::Pcg64Mcg;

use super::Kind;
use super::Policy;
use crate::choice::Choice;
use crate::choice::Refusal;
use crate::estimate::Forecast;
use crate::estimate::HALF_TRUST_AGE;
use crate::request::Request;
use crate::view::Row;
use crate::view::View;

/// Settings of [`Target`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Number of random candidates for a fresh view. Fewer are sampled as the view gets older.
    pub candidates: usize,
    /// Minimum number of random candidates, however old the view is.
    pub min_candidates: usize,
    /// Share of a prompt, from 0 to 1, that its home endpoint is assumed to have cached when there is no hint.
    ///
    /// All entries send prompts without hints to their home endpoint, and no entry receives the cache events of every
    /// endpoint.
    pub home_cached_share: f32,
    /// Share of the target that a forecast may use and still count as meeting it, from 0 to 1.
    pub margin: f32,
    /// Weight of the endpoint's own price against the mean price of its service, from 0 to 1.
    pub price_weight: f32,
    /// Relative cost increase of a full endpoint over an empty one.
    pub fill_penalty: f32,
    /// Cost of a request that just misses its target, as a multiple of its full engine time, by urgency: urgent,
    /// normal, deferrable.
    pub lateness_weights: [f32; 3],
    /// Share of the slots up to which deferrable work may fill an endpoint, from 0 to 1.
    pub deferrable_fill: f32,
    /// Share of the target that deferrable work may use, from 0 to 1.
    pub deferrable_margin: f32,
    /// Maximum engine time of queued prompts at which an endpoint still accepts deferrable work.
    pub deferrable_max_queue: Duration,
    /// Time after which waiting deferrable work is tried again.
    pub deferrable_retry_interval: Duration,
    /// Multiple of the expected run time that deferrable work keeps in reserve before its deadline.
    pub deferrable_reserve_factor: f32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            candidates: 5,
            min_candidates: 2,
            home_cached_share: 0.6,
            margin: 0.9,
            price_weight: 0.3,
            fill_penalty: 0.5,
            lateness_weights: [3.0, 1.0, 0.25],
            deferrable_fill: 0.75,
            deferrable_margin: 0.8,
            deferrable_max_queue: Duration::from_secs(1),
            deferrable_retry_interval: Duration::from_secs(2),
            deferrable_reserve_factor: 4.0,
        }
    }
}

/// Chooses the cheapest endpoint that meets the latency target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Target {
    settings: Settings,
}

impl Target {
    /// Creates the policy with the given settings.
    pub const fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Returns the number of random candidates to sample.
    ///
    /// Entries that read similar old views and all choose the best endpoint would overload it together. An older view
    /// therefore gets fewer candidates, which makes the choice more random.
    fn sample_size(&self, view: &View, pool: &[u16], request: &Request<'_>) -> usize {
        let newest = pool
            .iter()
            .take(FRESHNESS_SAMPLE)
            .map(|&index| view.rows[usize::from(index)].reported_at)
            .max();
        let age = request.now.since(newest.unwrap_or(Instant::ZERO));
        let trust = HALF_TRUST_AGE.as_secs_f32() / (HALF_TRUST_AGE + age).as_secs_f32();
        let wanted = (self.settings.candidates as f32 * trust) as usize;
        wanted.max(self.settings.min_candidates)
    }

    /// Returns the best candidate as the choice, unless deferrable work has to wait.
    fn accept_best(&self, view: &View, request: &Request<'_>, best: &Best) -> Result<Choice, Refusal> {
        let candidate = best.0.ok_or(Refusal::NoEndpoint)?;
        if request.urgency == Urgency::Deferrable {
            self.check_deferrable(request, &candidate.forecast)?;
        }
        Ok(super::choice_with(view, candidate.index, &candidate.forecast))
    }

    /// Refuses deferrable work while it would slow down more urgent work and its deadline still allows it to wait.
    fn check_deferrable(&self, request: &Request<'_>, forecast: &Forecast) -> Result<(), Refusal> {
        let has_slots = forecast.load.sequences < self.settings.deferrable_fill * forecast.load.slots;
        let short_queue = forecast.queue_micros < self.settings.deferrable_max_queue.as_micros() as f32;
        if has_slots && short_queue && forecast.pressure(request) < self.settings.deferrable_margin {
            return Ok(());
        }
        let span = forecast.first_micros + forecast.between_micros * request.answer_tokens as f32;
        let reserve = Duration::from_micros((span * self.settings.deferrable_reserve_factor) as u64);
        let latest = request.deadline - reserve;
        if request.now >= latest {
            return Ok(());
        }
        let until = (request.now + self.settings.deferrable_retry_interval).min(latest);
        Err(Refusal::Deferred { until })
    }
}

/// Number of endpoints in a pool whose reports are inspected to estimate the age of the view.
const FRESHNESS_SAMPLE: usize = 8;

impl Policy for Target {
    fn choose(&self, view: &View, request: &Request<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        let pool = view.pool(request.service);
        let mut best = Best::default();
        let matches = view.hints.lookup(request.prefix, request.now);
        for found in matches.iter() {
            if let Some(index) = view.index_of(found.slot)
                && view.allows(index, request)
            {
                let row = &view.rows[usize::from(index)];
                let cached = (found.blocks * request.block_tokens) as f32 * hint_weight(row, found.age, request.now);
                best.consider(view, request, &self.settings, index, cached);
            }
        }
        if let Some(home) = view.home_index(request) {
            let unknown = matches.is_empty();
            let cached = if unknown {
                request.prompt_tokens as f32 * self.settings.home_cached_share
            } else {
                0.0
            };
            best.consider(view, request, &self.settings, home, cached);
        }
        let sample_size = self.sample_size(view, pool, request);
        if sample_size >= pool.len() {
            for &index in pool {
                if view.allows(index, request) {
                    best.consider(view, request, &self.settings, index, 0.0);
                }
            }
        } else {
            for _ in 0..sample_size {
                let start = super::random_below(rng, pool.len());
                if let Some(index) = super::first_allowed(view, request, start) {
                    best.consider(view, request, &self.settings, index, 0.0);
                }
            }
        }
        self.accept_best(view, request, &best)
    }
}

/// Returns the weight of a prefix hint, from 0 to 1, given its age.
fn hint_weight(row: &Row, age: Duration, now: Instant) -> f32 {
    // A lost cache event may have reported the eviction of the block. The hint still ranks the endpoint above those
    // without a hint, but no longer counts as a full hit.
    const GAP_WEIGHT: f32 = 0.5;
    let fresh = 1.0 - age.as_secs_f32() / crate::prefix::LIFETIME.as_secs_f32();
    let before_gap = now - age < row.event_gap_at;
    if before_gap { fresh * GAP_WEIGHT } else { fresh }
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: u16,
    score: f32,
    forecast: Forecast,
}

/// The candidate with the lowest score so far.
#[derive(Clone, Copy, Debug, Default)]
struct Best(Option<Candidate>);

impl Best {
    fn consider(&mut self, view: &View, request: &Request<'_>, settings: &Settings, index: u16, cached: f32) {
        let row = &view.rows[usize::from(index)];
        let forecast = Forecast::of(view, row, request, cached);
        let score = settings.score(request, &forecast);
        if self.0.is_none_or(|best| score < best.score) {
            *self = Self(Some(Candidate { index, score, forecast }));
        }
    }
}

impl Settings {
    /// Returns the score of a forecast: the monetary cost of the request plus a penalty for missing its target.
    fn score(&self, request: &Request<'_>, forecast: &Forecast) -> f32 {
        let pressure = match request.urgency {
            // Callers do not read deferrable answers as they are generated, so the time between tokens does not count.
            Urgency::Deferrable => forecast.first_pressure(request),
            Urgency::Urgent | Urgency::Normal => forecast.pressure(request),
        };
        let weight = self.lateness_weights[request.urgency as usize];
        let late = (pressure - self.margin).max(0.0) / (1.0 - self.margin);
        let fill = forecast.load.sequences / forecast.load.slots;
        let cost = self.price_weight * forecast.cost + (1.0 - self.price_weight) * forecast.mean_cost;
        cost * (1.0 + self.fill_penalty * fill * fill) + forecast.full_cost * weight * late * late
    }
}

plugin::inventory::submit! {
    Kind { name: super::DEFAULT, build: || Box::new(Target::default()) }
}
