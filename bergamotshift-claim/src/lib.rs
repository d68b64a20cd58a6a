//! At-most-once claims, idempotency, deferred jobs and leases as state machines without I/O.
//!
//! The crate is sans-I/O: it reads no clock, opens no socket and uses no global random number generator. The caller
//! passes events in, performs the returned actions on the platform's table service, and passes the results back as
//! events.
//!
//! - [`driver`] handles one non-repeatable request, from writing its claim to recording its answer.
//! - [`batch`] combines the writes of many requests into few transactions (group commit).
//! - [`window`] deduplicates requests with the same idempotency key within one process.
//! - [`job`] stores deferred jobs until an entry has completed them.
//! - [`lease`] assigns a control duty to one entry at a time, under a fencing number.
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
//!     wall_clock: Clock::new(Instant::ZERO, 1_700_000_000_000),
//! };
//! let mut driver = driver::Driver::new(request, driver::Settings::default());
//! let actions = driver.on(Instant::ZERO, driver::Event::Ask);
//! let Some(driver::Action::Write { op, .. }) = actions.first() else { panic!("the claim is written first") };
//! let actions = driver.on(Instant::ZERO, driver::Event::Written { op: *op, ending: Ending::Applied });
//! assert_eq!(actions, [driver::Action::Send]);
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
