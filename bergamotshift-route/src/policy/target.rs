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
use crate::ask::Ask;
use crate::choice::Choice;
use crate::choice::Refusal;
use crate::estimate::Forecast;
use crate::estimate::HALF_TRUST;
use crate::view::Row;
use crate::view::View;

/// Settings of [`Target`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Endpoints drawn at random when the view is fresh.
    pub candidates: usize,
    /// Endpoints drawn at random, however old the view is.
    pub candidates_least: usize,
    /// Share of the target that a forecast may use and still count as meeting it.
    pub margin: f32,
    /// How much a full endpoint counts as dearer than an empty one.
    pub crowding: f32,
    /// Share of the slots that deferrable work may fill.
    pub deferrable_room: f32,
    /// Share of the target that deferrable work may use up.
    pub deferrable_margin: f32,
    /// How long deferrable work waits before it asks again.
    pub deferrable_wait: Duration,
    /// Deferrable work stops waiting when its deadline is nearer than this many times its expected span.
    pub deferrable_spans: f32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            candidates: 12,
            candidates_least: 3,
            margin: 0.8,
            crowding: 2.0,
            deferrable_room: 0.8,
            deferrable_margin: 0.8,
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
    fn draws(&self, view: &View, pool: &[u16], ask: &Ask<'_>) -> usize {
        let newest = pool
            .iter()
            .take(FRESHNESS_SAMPLE)
            .map(|&place| view.rows[usize::from(place)].reported)
            .max();
        let age = ask.now.since(newest.unwrap_or(Instant::ZERO));
        let trust = HALF_TRUST.as_secs_f32() / (HALF_TRUST + age).as_secs_f32();
        let wanted = (self.settings.candidates as f32 * trust) as usize;
        wanted.max(self.settings.candidates_least)
    }

    fn settle(&self, view: &View, ask: &Ask<'_>, best: &Best) -> Result<Choice, Refusal> {
        let candidate = best.meeting.or(best.nearest).ok_or(Refusal::Nowhere)?;
        if ask.urgency == Urgency::Deferrable {
            self.yields(ask, &candidate.forecast)?;
        }
        Ok(super::choice_with(view, candidate.place, &candidate.forecast))
    }

    /// Holds deferrable work back while it would crowd out urgent work and its deadline allows it.
    fn yields(&self, ask: &Ask<'_>, forecast: &Forecast) -> Result<(), Refusal> {
        let room = forecast.load.sequences < self.settings.deferrable_room * forecast.load.slots;
        if room && forecast.pressure(ask) < self.settings.deferrable_margin {
            return Ok(());
        }
        let span = forecast.first_micros + forecast.between_micros * ask.answer_tokens as f32;
        let reserve = Duration::from_micros((span * self.settings.deferrable_spans) as u64);
        let latest = ask.deadline - reserve;
        if ask.now >= latest {
            return Ok(());
        }
        let until = (ask.now + self.settings.deferrable_wait).min(latest);
        Err(Refusal::Later { until })
    }
}

/// How many endpoints of a pool are looked at to tell a fresh view from an old one.
const FRESHNESS_SAMPLE: usize = 8;

impl Policy for Target {
    fn choose(&self, view: &View, ask: &Ask<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        let pool = view.pool(ask.service);
        let mut best = Best::default();
        let matches = view.hints.lookup(ask.prefix, ask.now);
        for found in matches.iter() {
            if let Some(place) = view.place_of(found.slot)
                && view.allows(place, ask)
            {
                let row = &view.rows[usize::from(place)];
                let cached = (found.blocks * ask.block_tokens) as f32 * worth(row, found.age, ask.now);
                best.take(view, ask, &self.settings, place, cached);
            }
        }
        if let Some(home) = view.home(ask) {
            best.take(view, ask, &self.settings, home, 0.0);
        }
        let draws = self.draws(view, pool, ask);
        if draws >= pool.len() {
            for &place in pool {
                if view.allows(place, ask) {
                    best.take(view, ask, &self.settings, place, 0.0);
                }
            }
        } else {
            for _ in 0..draws {
                let start = super::below(rng, pool.len());
                if let Some(place) = super::first_allowed(view, ask, start) {
                    best.take(view, ask, &self.settings, place, 0.0);
                }
            }
        }
        self.settle(view, ask, &best)
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

/// The best candidates so far: the cheapest that meets the target, and the one nearest to it.
#[derive(Clone, Copy, Debug, Default)]
struct Best {
    meeting: Option<Candidate>,
    nearest: Option<Candidate>,
}

impl Best {
    fn take(&mut self, view: &View, ask: &Ask<'_>, settings: &Settings, place: u16, cached: f32) {
        let forecast = Forecast::of(view, &view.rows[usize::from(place)], ask, cached);
        let pressure = forecast.pressure(ask);
        if pressure <= settings.margin {
            let fill = forecast.load.sequences / forecast.load.slots;
            let score = forecast.cost * (1.0 + settings.crowding * fill.max(pressure).powi(2));
            keep(&mut self.meeting, Candidate { place, score, forecast });
        }
        keep(
            &mut self.nearest,
            Candidate {
                place,
                score: pressure,
                forecast,
            },
        );
    }
}

fn keep(best: &mut Option<Candidate>, new: Candidate) {
    if best.is_none_or(|old| new.score < old.score) {
        *best = Some(new);
    }
}

plugin::inventory::submit! {
    Kind { name: super::DEFAULT, build: || Box::new(Target::default()) }
}
