//! A request that was read whole and matched to its route.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bytes::Bytes;
use ntex::http::HeaderMap;
use ntex::http::Method;

use crate::dialect::Metadata;
use crate::document::Kind;
use crate::document::Route;
use crate::limits::Account;
use crate::limits::keeper::Placement;

/// How much longer than its objective an idempotent request may take until another endpoint is tried.
const PATIENCE: f64 = 1.5;

/// The least of that time: below it, the way there and back and a busy endpoint look like silence.
const PATIENCE_FLOOR: Duration = Duration::from_millis(120);

/// The longest time that a stream may stand still until it goes on elsewhere, in pauses that are still on time.
const STALL: u32 = 5;

/// How long callers wait for a stream's beginning, in objectives.
const OBJECTIVES: u32 = 4;

/// How long callers wait for a stream's next event, in pauses that are still on time.
const PAUSES: u32 = 8;

/// How long callers wait for a stream's beginning at the least.
const PATIENCE_LEAST: Duration = Duration::from_secs(2);

/// The part of that time up to which a beginning may be expected: the expectation is off by a quarter at times.
const PATIENCE_USED: f64 = 0.75;

/// A request that was read whole and matched to its route.
#[derive(Debug)]
pub(super) struct Job {
    /// What its head says.
    pub(super) ask: Metadata,
    /// Its method.
    pub(super) method: Method,
    /// Its path and query, as the caller sent them.
    pub(super) path: String,
    /// Its headers.
    pub(super) headers: HeaderMap,
    /// Its body.
    pub(super) body: Bytes,
    /// Its route.
    pub(super) route: Arc<Route>,
    /// The service that its route chose.
    pub(super) service: name::Service,
    /// Whose it is; `None` on public routes.
    pub(super) organisation: Option<name::Organisation>,
    /// Its rank, 0 first.
    pub(super) urgency: u8,
    /// When its head was read.
    pub(super) arrived: Instant,
    /// When its caller or its route waits no longer.
    pub(super) deadline: Instant,
    /// What it counts against its organisation's limit, and where.
    pub(super) charge: Option<Charge>,
    /// The endpoint that the zone's keeper chose for it.
    pub(super) placement: Option<Placement>,
    /// Whether it belongs to the share of a new version.
    pub(super) is_canary: bool,
    /// Its content, by which a caller's repeat is recognised.
    pub(super) fingerprint: Fingerprint,
}

/// Units that a request took from an account.
#[derive(Debug)]
pub(super) struct Charge {
    pub(super) account: Arc<Account>,
    pub(super) units: u64,
}

impl Charge {
    /// Gives the units back: the request did not run.
    pub(super) fn refund(&self) {
        self.account.refund(self.units);
    }
}

impl Job {
    /// Returns how long one endpoint may be silent before another is tried; `None` waits to the end.
    pub(super) fn patience(&self) -> Option<Duration> {
        (self.route.kind == Kind::Idempotent).then(|| self.route.objective.mul_f64(PATIENCE).max(PATIENCE_FLOOR))
    }

    /// Returns how long a stream may stand still before it goes on elsewhere; `None` waits to the end.
    pub(super) fn stall(&self) -> Option<Duration> {
        self.route.resumable.then(|| self.route.pause * STALL)
    }

    /// Returns how long the answer's beginning is of use.
    ///
    /// Failure: in an overload every stream begins after its caller has left. Symptom: endpoints read prompts for
    /// nobody, and nobody is served. Callers leave a stream that does not begin within a few objectives; what cannot
    /// begin by then is refused at once, and its caller may come back when there is room.
    pub(super) fn useful(&self) -> Duration {
        if self.route.kind != Kind::Stream {
            return self.route.timeout;
        }
        let patience = (self.route.objective * OBJECTIVES).max(self.route.pause * PAUSES);
        patience.max(PATIENCE_LEAST).mul_f64(PATIENCE_USED)
    }

    /// Returns the time that is left, in milliseconds.
    pub(super) fn time_left(&self, now: Instant) -> u64 {
        u64::try_from(self.deadline.since(now).as_millis()).unwrap_or(u64::MAX)
    }
}
