//! Admission control by comparing the predicted wait with the latency target.
//!
//! A request that cannot meet its target is refused early, before any byte is sent to an endpoint, with the time after
//! which it may be retried. Deferrable work is deferred instead.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::admission::{Decision, Gate, Request, Settings};
//! use core::time::Duration;
//!
//! let gate = Gate::new(Settings::default());
//! gate.set(Instant::ZERO, 1_000.0, [Duration::ZERO; 3], 1.0);
//! let request = Request {
//!     urgency: Urgency::Urgent,
//!     target: Duration::from_secs(2),
//!     deadline: Instant::from_secs(30),
//!     deferrable: false,
//!     work: 100,
//! };
//! assert_eq!(gate.decide(Instant::ZERO, request, Ok(())), Decision::Admit);
//! ```

mod forecast;
mod gate;
pub mod shortage;

use core::time::Duration;

use bergamotshift_core::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

pub use self::forecast::Forecast;
pub use self::forecast::Reading;
pub use self::gate::Gate;
pub use self::gate::Settings;
use crate::quota;
use crate::quota::Account;
use crate::quota::Cost;
use crate::share::Allowance;

/// Properties of a request on which admission depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Longest wait for the first token, or for the answer, that meets the latency target.
    pub target: Duration,
    /// Caller's deadline.
    pub deadline: Instant,
    /// Whether the rules and the caller allow the request to be deferred.
    pub deferrable: bool,
    /// Expected work, in the units of the service's capacity.
    pub work: u64,
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The organisation reached a limit of its own.
    Limit(quota::Limit),
    /// The service is contended and the organisation has used its share.
    Share,
    /// The predicted wait exceeds the latency target.
    Target,
    /// The predicted wait reaches the caller's deadline.
    Deadline,
}

/// Admission decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to an endpoint now.
    Admit,
    /// The request is deferred.
    Defer,
    /// The request is refused without having run.
    Refuse {
        /// Reason for the refusal.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Decides on a request: first by the organisation's limits, then by its share and the predicted wait.
///
/// The decision takes a few atomic operations and does not depend on other organisations.
///
/// If all refused callers got the same retry time, they would retry together and be refused again. A random part of
/// up to half of the time is therefore added to it.
pub fn decide(
    now: Instant,
    request: Request,
    cost: Cost,
    account: &Account,
    share: &Allowance,
    gate: &Gate,
    rng: &mut Pcg64Mcg,
) -> Decision {
    if let Err(excess) = account.admit(now, cost) {
        if request.deferrable && excess.limit != quota::Limit::Requests {
            return Decision::Defer;
        }
        let reason = Reason::Limit(excess.limit);
        return refuse(reason, excess.retry_after, rng);
    }
    let taken = share.try_take(now, request.work);
    let decision = gate.decide(now, request, taken);
    if decision != Decision::Admit {
        account.refund(cost);
        if taken.is_ok() {
            share.refund(request.work);
        }
    }
    match decision {
        Decision::Refuse { reason, retry_after } => refuse(reason, retry_after, rng),
        other => other,
    }
}

/// Returns a refusal, with a random part of up to half of `wait` added to its retry time.
fn refuse(reason: Reason, wait: Duration, rng: &mut Pcg64Mcg) -> Decision {
    let half = u64::try_from(wait.as_micros() / 2).unwrap_or(u64::MAX);
    let spread = Duration::from_micros(rng.random_range(0..=half));
    let retry_after = wait.saturating_add(spread);
    Decision::Refuse { reason, retry_after }
}
