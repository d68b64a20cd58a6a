//! Fair sharing, admission, retry budgets, hedging, silence of endpoints, ends of answers and quarantine without I/O.
//!
//! Events, readings and the current time go in; decisions come out. Types that worker threads use on the request path
//! are atomic and take `&self`; types that the control thread updates take `&mut self`. [`limiter`] combines limits,
//! shares and admission for one entry.
//!
//! ```
//! use bergamotshift_limit::prelude::*;
//!
//! let budget = Budget::new(retry::Settings::default());
//! budget.deposit();
//! assert!(budget.try_withdraw(), "the reserve covers a retry of the first failure");
//! ```

pub mod admission;
pub mod backoff;
pub mod bucket;
pub mod defer;
pub mod demand;
pub mod ending;
pub mod guarantee;
pub mod hedge;
pub mod intake;
pub mod limiter;
pub mod precedence;
pub mod prelude;
pub mod quarantine;
pub mod quota;
pub mod retry;
pub mod returns;
pub mod share;
pub mod silence;
pub mod stop;
pub mod throttle;
pub mod tolerance;
