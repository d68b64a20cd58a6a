//! Latency and cost estimates for one more request on an endpoint with continuous batching.
//!
//! An engine computes in steps. Each step generates one token for every running sequence and computes one chunk of a
//! waiting prompt, so its duration grows with the batch and with the prompt queue. A load report describes an earlier
//! step. Requests that this entry sent since are added, those that ended are subtracted, and the older the report, the
//! more the entry's own counters weigh.

use core::time::Duration;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;

use crate::request::Request;
use crate::view::Row;
use crate::view::View;

/// Speed of an engine on one machine class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// Duration of a step with an empty batch, in nanoseconds.
    pub step_nanos: u32,
    /// Time that each running sequence adds to a step, in nanoseconds.
    pub sequence_nanos: u32,
    /// Time that each prompt token computed in a step adds, in nanoseconds.
    pub prompt_token_nanos: u32,
    /// Maximum number of prompt tokens computed in one step.
    pub chunk_tokens: u32,
    /// Maximum number of sequences in the running batch, used until a report gives the actual one.
    pub slots: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Self::REFERENCE
    }
}

impl Speed {
    /// An engine on eight accelerators, assumed for classes without their own figures.
    pub const REFERENCE: Self = Self {
        step_nanos: 12_000_000,
        sequence_nanos: 250_000,
        prompt_token_nanos: 50_000,
        chunk_tokens: 512,
        slots: 128,
    };

    /// Returns the ratio of this engine's time for a prompt token to the reference engine's.
    pub fn slowness(&self) -> f32 {
        self.prompt_token_nanos as f32 / Self::REFERENCE.prompt_token_nanos as f32
    }

    /// Returns the duration of a decode step with `batch` running sequences, in microseconds.
    pub fn step_micros(&self, batch: f32) -> f32 {
        (self.step_nanos as f32 + self.sequence_nanos as f32 * batch) / NANOS_PER_MICRO
    }

    /// Returns the time that a full chunk of prompt tokens adds to a step, in microseconds.
    pub fn chunk_micros(&self) -> f32 {
        self.prompt_micros(self.chunk_tokens as f32)
    }

    /// Returns the engine time of `tokens` prompt tokens, in microseconds.
    pub fn prompt_micros(&self, tokens: f32) -> f32 {
        self.prompt_token_nanos as f32 * tokens / NANOS_PER_MICRO
    }

    /// Returns the engine time of one generated token in a full batch, in microseconds.
    pub fn token_micros(&self) -> f32 {
        let slots = self.slots.max(1) as f32;
        self.step_micros(slots) / slots
    }
}

const NANOS_PER_MICRO: f32 = 1_000.0;
const MICROS_PER_HOUR: f32 = 3_600_000_000.0;

/// Age of a report at which the entry's own counters weigh as much as the report.
pub const HALF_TRUST_AGE: Duration = Duration::from_secs(3);

/// Expected latency and cost of a request at the chosen endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub between_tokens: Duration,
    /// Number of prompt tokens that must be computed because they are not cached.
    pub prompt_tokens: u32,
    /// Cost of the request's engine time, including the expected cost of a reclaim.
    pub cost: Price,
}

/// Estimated current load of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of sequences that run or wait.
    pub sequences: f32,
    /// Number of prompt tokens not yet computed.
    pub backlog: f32,
    /// Maximum number of sequences that run at once.
    pub slots: f32,
    /// Weight of the report against the entry's own counters, from 0 to 1.
    pub trust: f32,
}

impl Load {
    /// Estimates the load of an endpoint from its last report and this entry's own counters.
    ///
    /// The entry's own requests in flight are multiplied by the number of entries, assuming that all send alike.
    pub fn of(view: &View, row: &Row, now: Instant) -> Self {
        let speed = &row.endpoint.speed;
        let counts = row.counter.totals();
        let own = counts.in_flight() as f32 * view.entries as f32;
        let Some(report) = row.report else {
            return Self {
                sequences: own,
                backlog: 0.0,
                slots: speed.slots.max(1) as f32,
                trust: 0.0,
            };
        };
        let age = now.since(row.reported_at).as_micros() as f32;
        let trust = HALF_TRUST_AGE.as_micros() as f32 / (HALF_TRUST_AGE.as_micros() as f32 + age);
        let sent = counts.sent.wrapping_sub(row.reported_totals.sent) as f32;
        let ended = counts.finished.wrapping_sub(row.reported_totals.finished) as f32;
        let reported = (report.running + report.waiting) as f32 + sent - ended;
        let sent_tokens = counts.prompt_tokens.wrapping_sub(row.reported_totals.prompt_tokens) as f32;
        let computed = age / Self::prompt_token_micros(speed, &report);
        Self {
            sequences: (reported * trust + own * (1.0 - trust)).max(0.0),
            backlog: (report.prefill_backlog as f32 + sent_tokens - computed).max(0.0),
            slots: report.slots.max(1) as f32,
            trust,
        }
    }

    /// Returns the time in which an engine computes one queued prompt token alongside the running batch, in
    /// microseconds.
    fn prompt_token_micros(speed: &Speed, report: &Report) -> f32 {
        let step = speed.step_micros(report.running as f32) + speed.chunk_micros();
        step / speed.chunk_tokens.max(1) as f32
    }
}

/// Forecast of latency and cost for one more request at an endpoint, in plain numbers for comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time to the first token, in microseconds.
    pub first_micros: f32,
    /// Time between tokens, in microseconds.
    pub between_micros: f32,
    /// Engine time of the prompts already queued, of any urgency, in microseconds.
    pub queue_micros: f32,
    /// Number of prompt tokens to compute.
    pub prompt_tokens: f32,
    /// Cost of the engine time and the expected cost of a reclaim, in millionths of a currency unit.
    pub cost: f32,
    /// Same as `cost`, but at the mean price of the service's endpoints.
    pub mean_cost: f32,
    /// Cost of the engine time at the mean price when nothing is cached, without the expected cost of a reclaim.
    pub full_cost: f32,
    /// Load that the forecast is based on.
    pub load: Load,
}

impl Forecast {
    /// Returns the forecast for a request of whose prompt `cached` tokens are cached.
    pub fn of(view: &View, row: &Row, request: &Request<'_>, cached: f32) -> Self {
        let endpoint = &row.endpoint;
        let speed = &endpoint.speed;
        let load = Load::of(view, row, request.now);
        let prompt = (request.prompt_tokens as f32 - cached).max(1.0);
        let batch = (load.sequences + 1.0).min(load.slots);
        let step = speed.step_micros(batch);
        let chunk = speed.chunk_tokens.max(1) as f32;
        let answer = request.answer_tokens.max(1) as f32;

        // A queued prompt adds a chunk to every step, so the waiting time is counted in steps that include one.
        let ahead = row.counter.share_ahead(request.urgency);
        let queued = load.backlog * ahead + prompt;
        let steps = (queued / chunk).max(1.0);
        let waiting = (load.sequences * ahead + 1.0 - load.slots).max(0.0);
        let slot_micros = answer * step / load.slots;
        let first_micros = steps * step + speed.prompt_micros(queued) + waiting * slot_micros;
        let between_micros = step + Self::interference(row, load) * speed.chunk_micros();

        let engine = speed.prompt_micros(prompt) + answer * speed.token_micros();
        // Endpoints without a price would all cost nothing and tie. A minimum of one unit orders them by engine time.
        let rate = endpoint.price.as_micros().max(1) as f32 / MICROS_PER_HOUR;
        let mean_rate = view.mean_price(endpoint.service).max(1.0) / MICROS_PER_HOUR / speed.slowness();
        let span = first_micros + answer * between_micros;
        let reclaims = endpoint.reclaims_per_mille_hour as f32 / 1_000.0 * span / MICROS_PER_HOUR;
        let recompute = speed.prompt_micros(request.prompt_tokens as f32 + answer / 2.0);
        Self {
            first_micros,
            between_micros,
            queue_micros: speed.prompt_micros(load.backlog),
            prompt_tokens: prompt,
            cost: rate * (engine + reclaims * recompute),
            mean_cost: mean_rate * (engine + reclaims * recompute),
            full_cost: mean_rate * (speed.prompt_micros(request.prompt_tokens as f32) + answer * speed.token_micros()),
            load,
        }
    }

    /// Returns the share of steps that include a chunk of some prompt, from 0 to 1.
    ///
    /// The reported tokens per second give the actual duration of a step. The time beyond what the batch accounts for
    /// was spent on prompts.
    fn interference(row: &Row, load: Load) -> f32 {
        let speed = &row.endpoint.speed;
        let chunk = speed.chunk_micros().max(1.0);
        let queued = (load.backlog / speed.chunk_tokens.max(1) as f32 / SATURATED_BACKLOG_CHUNKS).min(1.0);
        let Some(report) = row.report.filter(|report| report.decode_rate > 0) else {
            return queued;
        };
        let observed_step = report.running as f32 * 1_000_000.0 / report.decode_rate as f32;
        let share = (observed_step - speed.step_micros(report.running as f32)) / chunk;
        share.clamp(0.0, 1.0).max(queued)
    }

    /// Returns the used share of the tighter of the two latency targets; at 1 it is just met.
    pub fn pressure(&self, request: &Request<'_>) -> f32 {
        let between = self.between_micros / (request.between_tokens.as_micros() as f32).max(1.0);
        self.first_pressure(request).max(between)
    }

    /// Returns the used share of the target for the time to the first token; at 1 it is just met.
    pub fn first_pressure(&self, request: &Request<'_>) -> f32 {
        self.first_micros / (request.first_token.as_micros() as f32).max(1.0)
    }

    /// Converts the forecast to an [`Estimate`].
    pub fn estimate(&self) -> Estimate {
        Estimate {
            first_token: Duration::from_micros(self.first_micros as u64),
            between_tokens: Duration::from_micros(self.between_micros as u64),
            prompt_tokens: self.prompt_tokens as u32,
            cost: Price::from_micros(self.cost as u64),
        }
    }
}

/// Number of backlog chunks from which nearly every step of an answer includes a prompt chunk.
const SATURATED_BACKLOG_CHUNKS: f32 = 64.0;
