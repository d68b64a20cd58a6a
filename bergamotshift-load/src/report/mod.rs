//! What came of a run: figures, broken promises, and what stays unproved.

mod assemble;
mod html;
mod plot;
mod text;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Error;
use crate::check::Violation;
use crate::latency::Summary;
use crate::work::Kind;

pub use crate::run::Event;
pub(crate) use assemble::assemble;

/// Counts over all requests of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Requests that callers sent.
    pub sent: u64,
    /// Those that an entry accepted.
    pub accepted: u64,
    /// Those whose whole and right answer came.
    pub whole: u64,
    /// Those refused before they were accepted.
    pub refused: u64,
    /// Those refused with the word that it is not known whether they ran.
    pub unknown: u64,
    /// Those that no entry answered.
    pub unreachable: u64,
    /// Accepted ones of whose answer a part is missing.
    pub cut: u64,
    /// Accepted ones that were never answered.
    pub lost: u64,
    /// Those that got another's answer.
    pub wrong: u64,
    /// Those that took more than one sending to the same caller's answer.
    pub resent: u64,
    /// Non-repeatable ones that ran more than once.
    pub run_twice: u64,
    /// Tokens that came in.
    pub tokens: u64,
    /// Tokens that were computed a second time, at most.
    pub recomputed: u64,
}

/// The figures of one kind of request; latencies count from when a request was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Line {
    /// The kind.
    pub kind: Kind,
    /// Requests sent.
    pub sent: u64,
    /// Those that were accepted.
    pub accepted: u64,
    /// Those whose whole answer came.
    pub whole: u64,
    /// Latencies of the whole ones.
    pub latency: Summary,
}

/// The latency that the system adds to a small plain request.
///
/// Both sides are measured in one run by the same threads, from the moment of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Added {
    /// Requests through an entry.
    pub through: Summary,
    /// Requests straight to an endpoint.
    pub direct: Summary,
    /// Direct calls that failed and count in no latency.
    pub direct_failed: u64,
}

impl Added {
    /// Returns the difference of the medians, in microseconds.
    pub const fn p50_us(&self) -> i64 {
        self.through.p50_us as i64 - self.direct.p50_us as i64
    }

    /// Returns the difference of the 99th percentiles, in microseconds.
    pub const fn p99_us(&self) -> i64 {
        self.through.p99_us as i64 - self.direct.p99_us as i64
    }
}

/// One second of a run, by when requests were due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Second {
    /// Requests that were due.
    pub due: u64,
    /// Those that ended whole.
    pub whole: u64,
    /// Those refused or unreachable.
    pub refused: u64,
    /// Those cut, lost or wrong.
    pub failed: u64,
    /// The median latency of the whole ones, in microseconds.
    pub p50_us: u64,
    /// Their 99th percentile, in microseconds.
    pub p99_us: u64,
}

/// A latency distribution for a plot: percentiles (0 to 1) and microseconds.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Curve {
    /// What it shows.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, u64)>,
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// What each idempotency key of the run starts with.
    pub label: SmolStr,
    /// The seed.
    pub seed: u64,
    /// Mean requests per second that were due.
    pub rate: f64,
    /// For how long requests were started, in milliseconds.
    pub duration_ms: u64,
    /// From the first request to the end of the last one and of the fault plan, in milliseconds.
    pub elapsed_ms: u64,
    /// Counts over all requests.
    pub totals: Totals,
    /// Figures per kind.
    pub kinds: Vec<Line>,
    /// From when a stream was due to its first token.
    pub first_token: Summary,
    /// Between two tokens of a stream, broken and resumed ones included.
    pub between_tokens: Summary,
    /// How late requests were sent; large figures mean that the generator was the bottleneck.
    pub lag: Summary,
    /// The latency that the system adds, when direct calls were made.
    pub added: Option<Added>,
    /// The run, second by second.
    pub seconds: Vec<Second>,
    /// Latency distributions.
    pub curves: Vec<Curve>,
    /// The faults as they were carried out.
    pub events: Vec<Event>,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// What this run could not prove, and why.
    pub unproved: Vec<String>,
}

impl Report {
    /// Returns whether no promise was broken and each fault of the plan was carried out.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.events.iter().all(|event| event.failed.is_none())
    }

    /// Returns the report as a text table.
    pub fn to_text(&self) -> String {
        text::full(self)
    }

    /// Returns the few lines that the demo shows.
    pub fn to_brief(&self) -> String {
        text::brief(self)
    }

    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn to_json(&self) -> Result<String, Error> {
        Ok(serde_json::to_string_pretty(self)?)
    }

    /// Returns the report as one HTML page without outside files.
    ///
    /// # Errors
    ///
    /// Returns why a plot could not be drawn.
    pub fn to_html(&self) -> Result<String, Error> {
        html::page(self)
    }
}
