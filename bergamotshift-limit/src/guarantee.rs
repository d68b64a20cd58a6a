//! Statuses that guarantee that a request has not run and never will.
//!
//! Callers send a request that must not run twice again after such a status. Endpoints choose the statuses of their own
//! answers, and some use 503 for a failure in the middle of the work. So what reaches a caller depends on what is known of
//! all sends of its request, not on the last answer alone.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::guarantee;
//!
//! assert!(guarantee::may_state(503, Outcome::NotRun, false));
//! assert!(!guarantee::may_state(503, Outcome::Ran, false));
//! assert!(guarantee::may_state(500, Outcome::Ran, false));
//! ```

use bergamotshift_core::prelude::*;

/// Returns whether an HTTP status guarantees that the request has not run: 408, 421, 429 and 503.
pub const fn is_guarantee(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Returns whether a caller may get a status, given what is known of all sends of its request.
///
/// A caller may repeat a repeatable request after any failure, so such a request never runs too often by a status.
pub const fn may_state(status: u16, outcome: Outcome, is_repeatable: bool) -> bool {
    is_repeatable || !is_guarantee(status) || outcome.may_repeat()
}
