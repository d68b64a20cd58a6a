//! Admission of requests that engines could begin only after a wait.
//!
//! A request yields before it makes requests that are at least as urgent late, and an organisation that had more than
//! its fair share of the admitted work yields to the others. Decisions are made by one keeper for a zone, or by each
//! entry of a small fleet; [`Controller`] combines them with the times at which refused callers return.
//!
//! ```
//! use bergamotshift_limit::admission::shortage::{Bound, Decision, Gate, Request, Settings};
//! use bergamotshift_core::prelude::*;
//! use core::time::Duration;
//!
//! let routes = [(0, Duration::from_millis(800)), (2, Duration::from_millis(2_500))];
//! let request = Request {
//!     organisation: None,
//!     weight: 1.0,
//!     bound: Bound::of(routes.into_iter(), 2),
//!     wait: Duration::from_millis(900),
//!     due: Duration::ZERO,
//!     read: Duration::from_millis(100),
//!     objective: Duration::from_millis(2_500),
//!     objective_left: Duration::from_millis(2_500),
//!     latest: Duration::from_secs(8),
//!     is_return: false,
//! };
//! let mut gate = Gate::new(Settings::default());
//! let decision = gate.decide(Instant::ZERO, &request);
//! assert!(matches!(decision, Decision::Refuse { .. }), "requests of urgency 0 would be late");
//! ```

mod bound;
mod controller;
mod gate;
mod ledger;
mod settings;

pub use self::bound::Bound;
pub use self::controller::Asked;
pub use self::controller::Controller;
pub use self::controller::Outcome;
pub use self::controller::Refusal;
pub use self::controller::Verdict;
pub use self::gate::Decision;
pub use self::gate::Gate;
pub use self::gate::Reason;
pub use self::gate::Request;
pub use self::settings::Mode;
pub use self::settings::Settings;
