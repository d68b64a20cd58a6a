//! Request that was read completely and matched to its route.

use core::cell::Cell;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use ntex::http::HeaderMap;
use ntex::http::Method;

use super::body::Body;
use super::suspect::Content;
use crate::dialect::Metadata;
use crate::document::Kind;
use crate::document::Route;
use crate::limits::Account;
use crate::limits::keeper::Placement;
use crate::limits::shortage::Terms;

/// Multiple of its objective after which an idempotent request is sent to another endpoint.
const RESPONSE_TIMEOUT_FACTOR: f64 = 1.5;

/// Minimum of that timeout; in less, a round trip and a busy endpoint cannot be told from silence.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);

/// Time without events from which a stream's endpoint counts as silent, in multiples of the longest pause that is still on
/// time.
const STALL_TIMEOUT_PAUSES: u32 = 5;

/// Time that callers wait for the beginning of a stream, in multiples of the objective.
const START_TIMEOUT_OBJECTIVES: u32 = 4;

/// Time that callers wait for the next event of a stream, in multiples of the longest pause that is still on time.
const START_TIMEOUT_PAUSES: u32 = 8;

/// Minimum time that callers wait for the beginning of a stream.
const MIN_START_TIMEOUT: Duration = Duration::from_secs(2);

/// Share of that time within which the beginning must be expected, since the expectation is sometimes off by a quarter.
const START_TIMEOUT_SHARE: f64 = 0.75;

/// Request that was read completely and matched to its route.
#[derive(Debug)]
pub(super) struct Job {
    /// Metadata from its headers.
    pub(super) metadata: Metadata,
    /// HTTP method.
    pub(super) method: Method,
    /// Path and query, as the caller sent them.
    pub(super) path: String,
    /// Headers.
    pub(super) headers: HeaderMap,
    /// Body.
    pub(super) body: Body,
    /// Matching route.
    pub(super) route: Arc<Route>,
    /// Service that the route selected.
    pub(super) service: name::Service,
    /// Organisation of the caller; `None` if it was not authenticated.
    pub(super) organisation: Option<name::Organisation>,
    /// Urgency, where 0 comes first.
    pub(super) urgency: u8,
    /// Time at which its head was read.
    pub(super) arrived: Instant,
    /// Time at which its caller or its route stops waiting.
    pub(super) deadline: Instant,
    /// Charge that this entry made against the organisation's limit.
    pub(super) charge: Option<Charge>,
    /// Endpoint that the zone's keeper chose.
    pub(super) placement: Option<Placement>,
    /// Terms of its admission in a shortage when it arrived; `None` where the rules for one did not apply.
    pub(super) terms: Option<Terms>,
    /// Whether the zone's keeper or this entry admitted it by the rules for a shortage.
    pub(super) is_admitted: Cell<bool>,
    /// Whether it belongs to the share of requests that a new version gets.
    pub(super) is_canary: bool,
    /// Content by which it may be suspected of crashing endpoints.
    pub(super) content: Content,
}

/// Units that a request took from an account.
#[derive(Debug)]
pub(super) struct Charge {
    pub(super) account: Arc<Account>,
    pub(super) units: u64,
}

impl Charge {
    /// Refunds the units of a request that did not run.
    pub(super) fn refund(&self) {
        self.account.refund(self.units);
    }
}

impl Job {
    /// Returns the timeout for an endpoint's response before another endpoint is tried; `None` to wait until the
    /// deadline.
    pub(super) fn response_timeout(&self) -> Option<Duration> {
        (self.route.kind == Kind::Idempotent).then(|| {
            self.route
                .objective
                .mul_f64(RESPONSE_TIMEOUT_FACTOR)
                .max(MIN_RESPONSE_TIMEOUT)
        })
    }

    /// Returns the time without events from which a stream's endpoint counts as silent.
    pub(super) fn silence_limit(&self) -> Duration {
        self.route.pause * STALL_TIMEOUT_PAUSES
    }

    /// Returns the timeout for the next event of a stream before another endpoint is tried; `None` to wait until the
    /// deadline.
    pub(super) fn stall_timeout(&self) -> Option<Duration> {
        self.route.resumable.then(|| self.silence_limit())
    }

    /// Returns the time after arrival within which the response has to begin.
    ///
    /// Callers leave a stream that does not begin within a few objectives. Without this limit, every stream in an
    /// overload would begin after its caller has left: endpoints would read prompts for nobody, and nobody would be
    /// served. A request that cannot begin in time is refused at once, and its caller may retry when there is capacity.
    pub(super) fn start_timeout(&self) -> Duration {
        start_timeout(&self.route)
    }

    /// Returns the time for which the caller of a stream waits for its next event.
    pub(super) fn patience(&self) -> Duration {
        patience(&self.route)
    }

    /// Returns whether the caller takes up a stream that began before.
    pub(super) const fn is_resumed(&self) -> bool {
        is_resumed(&self.metadata)
    }

    /// Returns the time until the deadline, in milliseconds.
    pub(super) fn time_left_ms(&self, now: Instant) -> u64 {
        u64::try_from(self.deadline.since(now).as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the time after arrival within which the response to a request of a route has to begin.
pub(super) fn start_timeout(route: &Route) -> Duration {
    if route.kind != Kind::Stream {
        return route.timeout;
    }
    patience(route).mul_f64(START_TIMEOUT_SHARE)
}

/// Returns the time for which callers wait for the beginning or the next event of a stream.
fn patience(route: &Route) -> Duration {
    let timeout = (route.objective * START_TIMEOUT_OBJECTIVES).max(route.pause * START_TIMEOUT_PAUSES);
    timeout.max(MIN_START_TIMEOUT)
}

/// Returns whether a caller takes up a stream that began before.
pub(super) const fn is_resumed(metadata: &Metadata) -> bool {
    metadata.resumes.is_some() || metadata.last_event.is_some()
}
