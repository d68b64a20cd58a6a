//! Retries: whether a failed attempt may be followed by another, and when.
//!
//! [`Budget`] bounds the extra load of a whole service; [`Policy`] decides for one request.

mod budget;

use core::time::Duration;

use bergamotshift_core::prelude::*;
use rand_pcg::Pcg64Mcg;

pub use self::budget::Budget;
pub use self::budget::Settings;
use crate::backoff::Backoff;

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint proved that it refused before any work.
    Refused,
    /// The endpoint died, broke off or answered wrongly; the attempt may have run.
    Broken,
    /// The attempt took longer than it was given; it may have run.
    Timeout,
    /// The endpoint announced that it leaves, so the work moves on.
    Moved,
}

impl Failure {
    /// Returns whether the attempt certainly did no work.
    pub const fn certainly_not_run(self) -> bool {
        matches!(self, Self::Refused)
    }
}

/// What the decision needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// When the caller's deadline passes.
    pub deadline: Instant,
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request may have run and must not run twice.
    NonRepeatable,
    /// The service's number of attempts is used up.
    Attempts,
    /// The next attempt would start after the deadline.
    Deadline,
    /// The service's retry budget is empty.
    Budget,
}

/// Whether another attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Another attempt starts after this delay.
    Retry(Duration),
    /// The caller gets the failure now.
    Stop(Reason),
}

/// A service's retry policy.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Most attempts per request, the first included. Moves off leaving endpoints do not count.
    pub attempts: u32,
    /// How long to wait before an attempt that follows a failure.
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
    /// Decides on a request whose attempt failed, and takes from the budget when another attempt is made.
    ///
    /// A move off an endpoint that announced its end is no retry: an accepted request survives an announced reclaim,
    /// so it spends neither attempts nor budget and waits for nothing. The number of announced reclaims bounds it.
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
            return within(now, Duration::ZERO, request.deadline);
        }
        if request.attempts >= self.attempts {
            return Decision::Stop(Reason::Attempts);
        }
        let delay = self.backoff.delay(request.attempts.saturating_sub(1), rng);
        let decision = within(now, delay, request.deadline);
        if matches!(decision, Decision::Retry(_)) && !budget.try_withdraw() {
            return Decision::Stop(Reason::Budget);
        }
        decision
    }
}

fn within(now: Instant, delay: Duration, deadline: Instant) -> Decision {
    if now + delay < deadline {
        Decision::Retry(delay)
    } else {
        Decision::Stop(Reason::Deadline)
    }
}
