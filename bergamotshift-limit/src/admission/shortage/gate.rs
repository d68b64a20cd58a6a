//! Decisions by the wait and by the shares of organisations.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::Bound;
use super::Settings;
use super::ledger::Ledger;
use super::ledger::Usage;

/// Properties of a request on which its admission depends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request<'a> {
    /// Organisation of the caller; `None` if it was not authenticated.
    pub organisation: Option<&'a name::Organisation>,
    /// Weight of the organisation: the rate of its limit, or 1 without a limit.
    pub weight: f64,
    /// Longest wait by the routes that are at least as urgent.
    pub bound: Bound,
    /// Time for the work that is ahead of the request at the best endpoint.
    pub wait: Duration,
    /// Time for the work of returning callers who were promised to be served before the request.
    pub due: Duration,
    /// Time for the request's own work until its first event.
    pub read: Duration,
    /// Objective for the first event.
    pub objective: Duration,
    /// Part of the objective that is left since the request arrived.
    pub objective_left: Duration,
    /// Time until the caller leaves.
    pub latest: Duration,
    /// Whether the caller returns at the time that it was told.
    pub is_return: bool,
}

impl Request<'_> {
    /// Returns the longest wait of the request, with which others are not late and neither is this one.
    fn limit(&self, settings: &Settings) -> Duration {
        let own = self.objective_left.saturating_sub(self.read);
        let own = own.max(self.objective.mul_f64(settings.least_wait));
        self.bound.wait().map_or(own, |bound| bound.min(own))
    }
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The wait is too long.
    Wait,
    /// There is a shortage, and the organisation had more than its share.
    Share,
}

impl Reason {
    /// Returns the name of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Share => "share",
        }
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to an endpoint.
    Admit,
    /// The request yields to others, and has not run.
    Refuse {
        /// The reason.
        reason: Reason,
        /// Time by which the wait exceeds the one with which the request would be admitted.
        excess: Duration,
    },
}

/// Admission in a shortage of one service.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    ledger: Ledger,
}

impl Gate {
    /// Creates a gate that knows of no organisation, so that only the wait decides in the first window.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ledger: Ledger::new(settings.window, settings.organisations),
        }
    }

    /// Decides on a request, and records its work.
    pub fn decide(&mut self, now: Instant, request: &Request<'_>) -> Decision {
        let work = request.read.as_secs_f64();
        let weight = if request.weight.is_finite() && request.weight > 0.0 {
            request.weight
        } else {
            1.0
        };
        let is_recorded = self.ledger.request(now, request.organisation, weight, work);
        let decision = self.evaluate(request, is_recorded);
        if decision == Decision::Admit && is_recorded {
            self.ledger.admit(request.organisation, work);
        }
        decision
    }

    fn evaluate(&self, request: &Request<'_>, is_recorded: bool) -> Decision {
        let settings = &self.settings;
        let refuse = |reason, wait: Duration, allowed: Duration| Decision::Refuse {
            reason,
            excess: wait.saturating_sub(allowed),
        };
        if request.wait < request.objective.mul_f64(settings.idle) {
            return Decision::Admit;
        }
        // Callers that leave before the first event make an endpoint read a prompt for nobody.
        let latest = request.latest.saturating_sub(request.read);
        if request.is_return {
            return if request.wait <= latest {
                Decision::Admit
            } else {
                refuse(Reason::Wait, request.wait, latest)
            };
        }
        let wait = request.wait.saturating_add(request.due);
        let limit = request.limit(settings);
        let contention = limit.mul_f64(settings.contention);
        let usage = (wait > contention && is_recorded).then(|| self.ledger.usage(request.organisation));
        // The reason is the share even if the wait alone would be too long: no capacity will come free for an
        // organisation that has had more than its share.
        if usage.flatten().is_some_and(|usage| self.exceeds(usage)) {
            return refuse(Reason::Share, wait, contention);
        }
        let limit = limit.min(latest);
        if wait > limit {
            return refuse(Reason::Wait, wait, limit);
        }
        Decision::Admit
    }

    fn exceeds(&self, usage: Usage) -> bool {
        usage.admitted > usage.share * self.settings.tolerance
    }

    /// Returns the longest wait of a request.
    pub fn limit(&self, request: &Request<'_>) -> Duration {
        request.limit(&self.settings)
    }

    /// Returns the share of an organisation in the work that was admitted in the window, and the work of its own that
    /// was admitted, as engine time.
    pub fn share(&self, organisation: Option<&name::Organisation>) -> Option<(Duration, Duration)> {
        let usage = self.ledger.usage(organisation)?;
        let engine_time = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or_default();
        Some((engine_time(usage.share), engine_time(usage.admitted)))
    }

    /// Returns the number of organisations whose work is recorded.
    pub fn organisations(&self) -> usize {
        self.ledger.len()
    }
}
