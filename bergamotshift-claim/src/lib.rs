//! At-most-once claims, idempotency, deferred jobs and leases as state machines without I/O.
//!
//! Nothing here reads a clock, opens a socket or draws from global randomness. A shell feeds events in, carries the
//! returned actions out on the platform's table service, and feeds the results back.
//!
//! - [`driver`] takes one non-repeatable request from its claim to its recorded answer.
//! - [`batch`] puts the writes of many requests into few transactions (group commit).
//! - [`window`] joins and replays requests that carry the same idempotency key inside one process.
//! - [`job`] keeps deferred work until some entry has finished it.
//! - [`lease`] gives a control duty to one entry at a time, under a fencing number.
//!
//! ```
//! use bergamotshift_claim::prelude::*;
//! use bergamotshift_core::attempt;
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_core::table::Ending;
//!
//! let scope = Scope::new("oranjehal", "staff-app", "shift-17");
//! let request = driver::Request {
//!     scope,
//!     digest: Digest::of("POST", "/confirm", b"{}"),
//!     attempt: attempt::Id::new(7),
//!     holder: "entry-1".into(),
//!     deadline: Instant::from_secs(30),
//!     wall_clock: WallClock::new(Instant::ZERO, 1_700_000_000_000),
//! };
//! let mut driver = driver::Driver::new(request, driver::Settings::default());
//! let asked = driver.on(Instant::ZERO, driver::Event::Ask);
//! let Some(driver::Action::Write { op, .. }) = asked.first() else { panic!("the claim is written first") };
//! let sent = driver.on(Instant::ZERO, driver::Event::Written { op: *op, ending: Ending::Applied });
//! assert_eq!(sent, [driver::Action::Send]);
//! ```

pub mod answer;
pub mod batch;
pub mod codec;
pub mod digest;
pub mod driver;
pub mod job;
pub mod lease;
pub mod prelude;
pub mod record;
pub mod scope;
pub mod wall;
pub mod window;
