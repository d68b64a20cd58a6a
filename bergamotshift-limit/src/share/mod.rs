//! Fair shares of one service among organisations, by weight.
//!
//! While the service has room, shares bind nobody: an organisation uses what others leave. Under contention (see
//! [`crate::admission`]) only what lies within an organisation's share is admitted. Workers ask a [`Cell`]; the control
//! thread keeps a [`Pool`] and divides the service's capacity anew at each tick.
//!
//! ```
//! use bergamotshift_limit::share::{fill, Claim};
//!
//! let claims = [Claim { weight: 1.0, demand: 300.0 }, Claim { weight: 1.0, demand: 10.0 }];
//! assert_eq!(fill(100.0, &claims), vec![90.0, 10.0]);
//! ```

mod cell;
mod fill;
mod pool;

pub use self::cell::Cell;
pub use self::fill::Claim;
pub use self::fill::fill;
pub use self::pool::Pool;
pub use self::pool::Settings;
pub use self::pool::Supply;
