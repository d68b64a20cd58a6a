//! Estimates of what one more request does on an endpoint that batches continuously.
//!
//! An engine computes in steps. One step gives each running sequence one token and computes one chunk of a waiting
//! prompt, so a step grows with the batch and with prompts in the queue. A report shows a step of some time ago; what
//! this entry sent and what ended since is added, and where the report is old, the entry's own counts weigh more.

use core::time::Duration;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;

use crate::request::Request;
use crate::view::Row;
use crate::view::View;

/// How fast an engine is on one machine class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// A step's time for an empty batch, in nanoseconds.
    pub step_nanos: u32,
    /// What each running sequence adds to a step, in nanoseconds.
    pub sequence_nanos: u32,
    /// What each prompt token computed in a step adds, in nanoseconds.
    pub prompt_token_nanos: u32,
    /// Prompt tokens computed in one step at most.
    pub chunk_tokens: u32,
    /// Sequences in the running batch at most, until a report says otherwise.
    pub slots: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Self::REFERENCE
    }
}

impl Speed {
    /// An engine over eight accelerators, as assumed until a class says otherwise.
    pub const REFERENCE: Self = Self {
        step_nanos: 12_000_000,
        sequence_nanos: 250_000,
        prompt_token_nanos: 50_000,
        chunk_tokens: 512,
        slots: 128,
    };

    /// Returns how many times the reference engine's time the same work takes.
    pub fn slowness(&self) -> f32 {
        self.prompt_token_nanos as f32 / Self::REFERENCE.prompt_token_nanos as f32
    }

    /// Returns the time of a decode step with this many running sequences, in microseconds.
    pub fn step_micros(&self, batch: f32) -> f32 {
        (self.step_nanos as f32 + self.sequence_nanos as f32 * batch) / NANOS
    }

    /// Returns what a full chunk of prompt tokens adds to a step, in microseconds.
    pub fn chunk_micros(&self) -> f32 {
        self.prompt_micros(self.chunk_tokens as f32)
    }

    /// Returns the engine time of this many prompt tokens, in microseconds.
    pub fn prompt_micros(&self, tokens: f32) -> f32 {
        self.prompt_token_nanos as f32 * tokens / NANOS
    }

    /// Returns the engine time of one generated token in a full batch, in microseconds.
    pub fn token_micros(&self) -> f32 {
        let slots = self.slots.max(1) as f32;
        self.step_micros(slots) / slots
    }
}

const NANOS: f32 = 1_000.0;
const MICROS_PER_HOUR: f32 = 3_600_000_000.0;

/// The age of a report at which the entry's own counts weigh as much as the report.
pub const HALF_TRUST: Duration = Duration::from_secs(3);

/// What a decision expects of the endpoint that it chose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub between_tokens: Duration,
    /// Prompt tokens that must be computed because no cache holds them.
    pub prompt_tokens: u32,
    /// What the request's engine time costs.
    pub cost: Price,
}

/// The load of an endpoint as believed now, sequences and prompt tokens of this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Sequences running or waiting.
    pub sequences: f32,
    /// Prompt tokens not yet computed.
    pub backlog: f32,
    /// Sequences that run at once at most.
    pub slots: f32,
    /// How far the report is trusted, from 0 to 1.
    pub trust: f32,
}

impl Load {
    /// Returns the load of an endpoint from its last report and this entry's own counts.
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
        let age = now.since(row.reported).as_micros() as f32;
        let trust = HALF_TRUST.as_micros() as f32 / (HALF_TRUST.as_micros() as f32 + age);
        let sent = counts.sent.wrapping_sub(row.mark.sent) as f32;
        let ended = counts.finished.wrapping_sub(row.mark.finished) as f32;
        let reported = (report.running + report.waiting) as f32 + sent - ended;
        let sent_tokens = counts.prompt_tokens.wrapping_sub(row.mark.prompt_tokens) as f32;
        let computed = age / Self::prompt_token_micros(speed, &report);
        Self {
            sequences: (reported * trust + own * (1.0 - trust)).max(0.0),
            backlog: (report.prefill_backlog as f32 + sent_tokens - computed).max(0.0),
            slots: report.slots.max(1) as f32,
            trust,
        }
    }

    /// Returns the time in which one prompt token of the queue is computed, beside the running batch.
    fn prompt_token_micros(speed: &Speed, report: &Report) -> f32 {
        let step = speed.step_micros(report.running as f32) + speed.chunk_micros();
        step / speed.chunk_tokens.max(1) as f32
    }
}

/// What one more request would see at an endpoint, in plain numbers for comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time to the first token, in microseconds.
    pub first_micros: f32,
    /// Time between tokens, in microseconds.
    pub between_micros: f32,
    /// Engine time of the prompts that wait already, of any urgency, in microseconds.
    pub queue_micros: f32,
    /// Prompt tokens to compute.
    pub prompt_tokens: f32,
    /// Cost of the engine time in millionths of a currency unit, with the expected cost of a reclaim.
    pub cost: f32,
    /// The same at the mean price of the service's endpoints.
    pub mean_cost: f32,
    /// The mean cost with nothing cached.
    pub full_cost: f32,
    /// The load it rests on.
    pub load: Load,
}

impl Forecast {
    /// Returns the forecast for a request of whose prompt `cached` tokens need no computing.
    pub fn of(view: &View, row: &Row, request: &Request<'_>, cached: f32) -> Self {
        let endpoint = &row.endpoint;
        let speed = &endpoint.speed;
        let load = Load::of(view, row, request.now);
        let prompt = (request.prompt_tokens as f32 - cached).max(1.0);
        let batch = (load.sequences + 1.0).min(load.slots);
        let step = speed.step_micros(batch);
        let chunk = speed.chunk_tokens.max(1) as f32;
        let answer = request.answer_tokens.max(1) as f32;

        // A queued prompt slows every step by a chunk, so waiting time is counted in steps that carry one.
        let ahead = row.counter.share_ahead(request.urgency);
        let queued = load.backlog * ahead + prompt;
        let steps = (queued / chunk).max(1.0);
        let waiting = (load.sequences * ahead + 1.0 - load.slots).max(0.0);
        let slot_micros = answer * step / load.slots;
        let first_micros = steps * step + speed.prompt_micros(queued) + waiting * slot_micros;
        let between_micros = step + Self::interference(row, load) * speed.chunk_micros();

        let engine = speed.prompt_micros(prompt) + answer * speed.token_micros();
        // Endpoints without a price would all cost nothing and tie; one unit keeps them in the order of engine time.
        let rate = endpoint.price.as_micros().max(1) as f32 / MICROS_PER_HOUR;
        let mean_rate = view.mean_price(endpoint.service).max(1.0) / MICROS_PER_HOUR / speed.slowness();
        let span = first_micros + answer * between_micros;
        let reclaims = endpoint.reclaims_per_mille_hour as f32 / 1_000.0 * span / MICROS_PER_HOUR;
        let again = speed.prompt_micros(request.prompt_tokens as f32 + answer / 2.0);
        Self {
            first_micros,
            between_micros,
            queue_micros: speed.prompt_micros(load.backlog),
            prompt_tokens: prompt,
            cost: rate * (engine + reclaims * again),
            mean_cost: mean_rate * (engine + reclaims * again),
            full_cost: mean_rate * (speed.prompt_micros(request.prompt_tokens as f32) + answer * speed.token_micros()),
            load,
        }
    }

    /// Returns the share of steps that carry a chunk of some prompt.
    ///
    /// The report's tokens per second show how long a step took; what is longer than its batch explains went into
    /// prompts.
    fn interference(row: &Row, load: Load) -> f32 {
        let speed = &row.endpoint.speed;
        let chunk = speed.chunk_micros().max(1.0);
        let queued = (load.backlog / speed.chunk_tokens.max(1) as f32 / QUEUE_STEPS).min(1.0);
        let Some(report) = row.report.filter(|report| report.decode_rate > 0) else {
            return queued;
        };
        let seen = report.running as f32 * 1_000_000.0 / report.decode_rate as f32;
        let share = (seen - speed.step_micros(report.running as f32)) / chunk;
        share.clamp(0.0, 1.0).max(queued)
    }

    /// Returns how much of the tighter target is used: 1 is just met.
    pub fn pressure(&self, request: &Request<'_>) -> f32 {
        let between = self.between_micros / (request.between_tokens.as_micros() as f32).max(1.0);
        self.first_pressure(request).max(between)
    }

    /// Returns how much of the target for the first token is used.
    pub fn first_pressure(&self, request: &Request<'_>) -> f32 {
        self.first_micros / (request.first_token.as_micros() as f32).max(1.0)
    }

    /// Returns the forecast in the units that callers use.
    pub fn estimate(&self) -> Estimate {
        Estimate {
            first_token: Duration::from_micros(self.first_micros as u64),
            between_tokens: Duration::from_micros(self.between_micros as u64),
            prompt_tokens: self.prompt_tokens as u32,
            cost: Price::from_micros(self.cost as u64),
        }
    }
}

/// A backlog of this many chunks keeps nearly every step of an answer busy with prompts.
const QUEUE_STEPS: f32 = 64.0;
