//! Admission by predicted wait against the latency target.
//!
//! A request that cannot make its target is refused while it is cheap: before any byte goes to an endpoint, with the
//! time at which it may come back. Deferrable work is taken for later instead.
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
//! assert_eq!(gate.weigh(Instant::ZERO, request, Ok(())), Decision::Admit);
//! ```

mod forecast;
mod gate;

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
use crate::share::Cell;

/// What admission needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// How soon its answer is needed.
    pub urgency: Urgency,
    /// The longest wait before its first token, or its answer, that meets the target.
    pub target: Duration,
    /// When the caller's deadline passes.
    pub deadline: Instant,
    /// Whether rules and caller let it run later.
    pub deferrable: bool,
    /// Its expected work, in the units of the service's capacity.
    pub work: u64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The organisation reached a limit of its own.
    Limit(quota::Limit),
    /// The service is contended and the organisation has used its share.
    Share,
    /// The predicted wait passes the latency target.
    Target,
    /// The predicted wait passes the caller's deadline.
    Deadline,
}

/// Whether a request is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes on to an endpoint now.
    Admit,
    /// It is kept for later.
    Defer,
    /// It gets its final answer now: not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When it may come back.
        retry_after: Duration,
    },
}

/// Decides on a request: the organisation's limits first, then its share and the wait.
///
/// The path is a handful of atomic operations and depends on no other organisation.
///
/// Failure: refused callers are all told the same moment. Symptom: they come back together and are refused again. Up
/// to half is added to the time at random, which spreads them over it.
pub fn decide(
    now: Instant,
    request: Request,
    cost: Cost,
    account: &Account,
    cell: &Cell,
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
    let share = cell.try_take(now, request.work);
    let decision = gate.weigh(now, request, share);
    if decision != Decision::Admit {
        account.refund(cost);
        if share.is_ok() {
            cell.refund(request.work);
        }
    }
    match decision {
        Decision::Refuse { reason, retry_after } => refuse(reason, retry_after, rng),
        other => other,
    }
}

fn refuse(reason: Reason, wait: Duration, rng: &mut Pcg64Mcg) -> Decision {
    let half = u64::try_from(wait.as_micros() / 2).unwrap_or(u64::MAX);
    let spread = Duration::from_micros(rng.random_range(0..=half));
    let retry_after = wait.saturating_add(spread);
    Decision::Refuse { reason, retry_after }
}
