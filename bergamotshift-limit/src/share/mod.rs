//! Fair shares of one service among organisations, by weight.
//!
//! While the service has spare capacity, shares are not enforced: an organisation may use what others leave unused.
//! Under contention (see [`crate::admission`]), only work within an organisation's share is admitted. Workers take work
//! from an [`Allowance`]; the control thread keeps a [`Pool`] and divides the service's capacity at each tick.
//!
//! ```
//! use bergamotshift_limit::share::{Claimant, divide};
//!
//! let claimants = [Claimant { weight: 1.0, demand: 300.0 }, Claimant { weight: 1.0, demand: 10.0 }];
//! assert_eq!(divide(100.0, &claimants), vec![90.0, 10.0]);
//! ```

mod allowance;
mod fill;
mod pool;

pub use self::allowance::Allowance;
pub use self::fill::Claimant;
pub use self::fill::divide;
pub use self::pool::Pool;
pub use self::pool::Settings;
pub use self::pool::Supply;
