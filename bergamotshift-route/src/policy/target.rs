//! Target, then cost: among endpoints that meet the latency target, the cheapest.
//!
//! The cost of a request is its engine time at the price of the endpoint's VM, prompt tokens that no cache holds
//! included, with the expected cost of a reclaim. Urgent work takes the endpoint that comes nearest to its target when
//! none meets it. Deferrable work waits until some endpoint has room to spare, or its deadline presses.

use core::time::Duration;

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;
use rand_pcg::Pcg64Mcg;

use super::Kind;
use super::Policy;
use crate::choice::Choice;
use crate::choice::Refusal;
use crate::estimate::Forecast;
use crate::estimate::HALF_TRUST;
use crate::request::Request;
use crate::view::Row;
use crate::view::View;

/// Settings of [`Target`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Endpoints drawn at random when the view is fresh.
    pub candidates: usize,
    /// Endpoints drawn at random, however old the view is.
    pub candidates_least: usize,
    /// Share of a prompt that its home is taken to hold when no hint says who does: all entries send there what they know
    /// no better place for, and none of them hears of every endpoint's cache.
    pub home: f32,
    /// Share of the target that a forecast may use and still count as meeting it.
    pub margin: f32,
    /// How much an endpoint's own price counts against the mean price of its service, from 0 to 1.
    pub price: f32,
    /// How much a full endpoint counts as dearer than an empty one.
    pub crowding: f32,
    /// What a request that just misses its target costs, in times its whole engine time: urgent, normal, deferrable.
    pub lateness: [f32; 3],
    /// Share of the slots that deferrable work may fill.
    pub deferrable_room: f32,
    /// Share of the target that deferrable work may use up.
    pub deferrable_margin: f32,
    /// The longest queue of prompts, in engine time, at which deferrable work still finds room.
    pub deferrable_queue: Duration,
    /// How long deferrable work waits before it asks again.
    pub deferrable_wait: Duration,
    /// Deferrable work stops waiting when its deadline is nearer than this many times its expected span.
    pub deferrable_spans: f32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            candidates: 5,
            candidates_least: 2,
            home: 0.6,
            margin: 0.9,
            price: 0.3,
            crowding: 0.5,
            lateness: [3.0, 1.0, 0.25],
            deferrable_room: 0.75,
            deferrable_margin: 0.8,
            deferrable_queue: Duration::from_secs(1),
            deferrable_wait: Duration::from_secs(2),
            deferrable_spans: 4.0,
        }
    }
}

/// Chooses the cheapest endpoint that meets the target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Target {
    settings: Settings,
}

impl Target {
    /// Makes the policy with these settings.
    pub const fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Returns how many endpoints to draw: many entries that read the same old view and all take its best endpoint
    /// would flood it together, so an older view means fewer candidates and more chance.
    fn draws(&self, view: &View, pool: &[u16], request: &Request<'_>) -> usize {
        let newest = pool
            .iter()
            .take(FRESHNESS_SAMPLE)
            .map(|&place| view.rows[usize::from(place)].reported)
            .max();
        let age = request.now.since(newest.unwrap_or(Instant::ZERO));
        let trust = HALF_TRUST.as_secs_f32() / (HALF_TRUST + age).as_secs_f32();
        let wanted = (self.settings.candidates as f32 * trust) as usize;
        wanted.max(self.settings.candidates_least)
    }

    fn settle(&self, view: &View, request: &Request<'_>, best: &Best) -> Result<Choice, Refusal> {
        let candidate = best.0.ok_or(Refusal::NoEndpoint)?;
        if request.urgency == Urgency::Deferrable {
            self.yields(request, &candidate.forecast)?;
        }
        Ok(super::choice_with(view, candidate.place, &candidate.forecast))
    }

    /// Holds deferrable work back while it would crowd out urgent work and its deadline allows it.
    fn yields(&self, request: &Request<'_>, forecast: &Forecast) -> Result<(), Refusal> {
        let room = forecast.load.sequences < self.settings.deferrable_room * forecast.load.slots;
        let soon = forecast.queue_micros < self.settings.deferrable_queue.as_micros() as f32;
        if room && soon && forecast.pressure(request) < self.settings.deferrable_margin {
            return Ok(());
        }
        let span = forecast.first_micros + forecast.between_micros * request.answer_tokens as f32;
        let reserve = Duration::from_micros((span * self.settings.deferrable_spans) as u64);
        let latest = request.deadline - reserve;
        if request.now >= latest {
            return Ok(());
        }
        let until = (request.now + self.settings.deferrable_wait).min(latest);
        Err(Refusal::Deferred { until })
    }
}

/// How many endpoints of a pool are looked at to tell a fresh view from an old one.
const FRESHNESS_SAMPLE: usize = 8;

impl Policy for Target {
    fn choose(&self, view: &View, request: &Request<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        let pool = view.pool(request.service);
        let mut best = Best::default();
        let matches = view.hints.lookup(request.prefix, request.now);
        for found in matches.iter() {
            if let Some(place) = view.place_of(found.slot)
                && view.allows(place, request)
            {
                let row = &view.rows[usize::from(place)];
                let cached = (found.blocks * request.block_tokens) as f32 * worth(row, found.age, request.now);
                best.take(view, request, &self.settings, place, cached);
            }
        }
        if let Some(home) = view.home(request) {
            let unknown = matches.is_empty();
            let cached = if unknown {
                request.prompt_tokens as f32 * self.settings.home
            } else {
                0.0
            };
            best.take(view, request, &self.settings, home, cached);
        }
        let draws = self.draws(view, pool, request);
        if draws >= pool.len() {
            for &place in pool {
                if view.allows(place, request) {
                    best.take(view, request, &self.settings, place, 0.0);
                }
            }
        } else {
            for _ in 0..draws {
                let start = super::below(rng, pool.len());
                if let Some(place) = super::first_allowed(view, request, start) {
                    best.take(view, request, &self.settings, place, 0.0);
                }
            }
        }
        self.settle(view, request, &best)
    }
}

/// Returns what a hint of this age is worth, from 0 to 1.
fn worth(row: &Row, age: Duration, now: Instant) -> f32 {
    // Lost cache events may have said that the block is gone. The hint then still ranks the endpoint above strangers,
    // but no longer counts as a full hit.
    const AFTER_GAP: f32 = 0.5;
    let fresh = 1.0 - age.as_secs_f32() / crate::prefix::LIFETIME.as_secs_f32();
    let covered = now - age < row.hints_from;
    if covered { fresh * AFTER_GAP } else { fresh }
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    place: u16,
    score: f32,
    forecast: Forecast,
}

/// The candidate with the least score so far.
#[derive(Clone, Copy, Debug, Default)]
struct Best(Option<Candidate>);

impl Best {
    fn take(&mut self, view: &View, request: &Request<'_>, settings: &Settings, place: u16, cached: f32) {
        let row = &view.rows[usize::from(place)];
        let forecast = Forecast::of(view, row, request, cached);
        let score = settings.score(request, &forecast);
        if self.0.is_none_or(|best| score < best.score) {
            *self = Self(Some(Candidate { place, score, forecast }));
        }
    }
}

impl Settings {
    /// Returns what running the request there costs, in money and in lateness.
    fn score(&self, request: &Request<'_>, forecast: &Forecast) -> f32 {
        let pressure = match request.urgency {
            // Nobody reads deferrable answers as they are generated.
            Urgency::Deferrable => forecast.first_pressure(request),
            Urgency::Urgent | Urgency::Normal => forecast.pressure(request),
        };
        let weight = self.lateness[request.urgency as usize];
        let late = (pressure - self.margin).max(0.0) / (1.0 - self.margin);
        let fill = forecast.load.sequences / forecast.load.slots;
        let cost = self.price * forecast.cost + (1.0 - self.price) * forecast.mean_cost;
        cost * (1.0 + self.crowding * fill * fill) + forecast.full_cost * weight * late * late
    }
}

plugin::inventory::submit! {
    Kind { name: super::DEFAULT, build: || Box::new(Target::default()) }
}
