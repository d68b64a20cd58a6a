//! Commonly used types of the crate.

pub use crate::admission;
pub use crate::admission::Gate;
pub use crate::backoff;
pub use crate::backoff::Backoff;
pub use crate::defer;
pub use crate::demand;
pub use crate::ending;
pub use crate::hedge;
pub use crate::hedge::Hedge;
pub use crate::limiter;
pub use crate::quarantine;
pub use crate::quarantine::Quarantine;
pub use crate::quarantine::Verdict;
pub use crate::quota;
pub use crate::quota::Account;
pub use crate::quota::Ledger;
pub use crate::retry;
pub use crate::retry::Budget;
pub use crate::share;
pub use crate::share::Pool;
pub use crate::silence;
pub use crate::throttle;
pub use crate::throttle::Throttle;
