//! Retry decisions after failed attempts.
//!
//! [`Budget`] bounds the extra load of a whole service; [`Policy`] decides for one request.

mod budget;

use core::time::Duration;

use bergamotshift_core::prelude::*;
use rand_pcg::Pcg64Mcg;

pub use self::budget::Budget;
pub use self::budget::Settings;
pub use self::budget::Withdrawal;
use crate::backoff::Backoff;

/// Failure of an attempt that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint proved that it refused the request before doing any work.
    Refused,
    /// The endpoint failed, closed the connection early or sent an invalid answer; the attempt may have run.
    Broken,
    /// The attempt timed out; it may have run.
    Timeout,
    /// The endpoint announced that it is leaving, so the request moves to another one.
    Moved,
}

impl Failure {
    /// Returns whether the attempt certainly did no work.
    pub const fn certainly_not_run(self) -> bool {
        matches!(self, Self::Refused)
    }
}

/// State of a request whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether the request is safe to run twice.
    pub repeatable: bool,
    /// Number of attempts so far, including the failed one.
    pub attempts: u32,
    /// Caller's deadline.
    pub deadline: Instant,
}

/// Reason why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request may have run and must not run twice.
    NonRepeatable,
    /// The service's attempt limit is reached.
    Attempts,
    /// The next attempt would start after the deadline.
    Deadline,
    /// The service's retry budget is empty.
    Budget,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Make another attempt after this delay.
    Retry(Duration),
    /// Return the failure to the caller.
    Stop(Reason),
}

/// Retry policy of a service.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Maximum number of attempts per request, including the first. Moves away from leaving endpoints do not count.
    pub attempts: u32,
    /// Delay before an attempt that follows a failure.
    pub backoff: Backoff,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            attempts: 3,
            backoff: Backoff::default(),
        }
    }
}

impl Policy {
    /// Decides on a request whose attempt failed, and takes from the budget if another attempt is made.
    ///
    /// A move away from an endpoint that announced its end is not a retry: an accepted request has to survive an
    /// announced reclaim, so the move uses neither attempts nor budget and has no delay. The number of announced
    /// reclaims bounds the number of moves.
    pub fn decide(
        &self,
        now: Instant,
        request: Request,
        failure: Failure,
        budget: &Budget,
        rng: &mut Pcg64Mcg,
    ) -> Decision {
        if !request.repeatable && !failure.certainly_not_run() {
            return Decision::Stop(Reason::NonRepeatable);
        }
        if failure == Failure::Moved {
            return retry_before(now, Duration::ZERO, request.deadline);
        }
        if request.attempts >= self.attempts {
            return Decision::Stop(Reason::Attempts);
        }
        let delay = self.backoff.delay(request.attempts.saturating_sub(1), rng);
        let decision = retry_before(now, delay, request.deadline);
        if matches!(decision, Decision::Retry(_)) && !budget.try_withdraw() {
            return Decision::Stop(Reason::Budget);
        }
        decision
    }
}

/// Returns a retry after `delay` if that is before the deadline.
fn retry_before(now: Instant, delay: Duration, deadline: Instant) -> Decision {
    if now + delay < deadline {
        Decision::Retry(delay)
    } else {
        Decision::Stop(Reason::Deadline)
    }
}
