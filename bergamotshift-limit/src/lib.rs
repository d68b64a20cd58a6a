//! Fair sharing, admission, retry budgets, hedging and quarantine without I/O.
//!
//! Everything here decides and nothing here acts: events, readings and `now` go in, decisions come out. What a worker
//! thread touches on a request's path is atomic and takes `&self`; what the control thread folds takes `&mut self`.
//! [`limiter`] puts limits, shares and admission together for one entry.
//!
//! ```
//! use bergamotshift_limit::prelude::*;
//!
//! let budget = Budget::new(retry::Settings::default());
//! budget.deposit();
//! assert!(budget.try_withdraw(), "the reserve lets the first failure be retried");
//! ```

pub mod admission;
pub mod backoff;
pub mod bucket;
pub mod defer;
pub mod demand;
pub mod hedge;
pub mod limiter;
pub mod prelude;
pub mod quarantine;
pub mod quota;
pub mod retry;
pub mod share;
pub mod throttle;
