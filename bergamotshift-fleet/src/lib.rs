//! Membership, failure detection, leaving marks and handover placement without I/O.
//!
//! An entry runs one [`Kernel`](kernel::Kernel). It takes frames, timers, VM lists and load reports as events together
//! with the time, and returns frames to send and updates for the rest of the entry as actions. Two kernels that receive
//! each other's frames form a fleet, whether over sockets or in the virtual time of a test.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_fleet::prelude::*;
//! use rand_pcg::Pcg64Mcg;
//!
//! let record = |name: &str, port: u16| member::Record {
//!     name: name.into(),
//!     incarnation: Incarnation::new(1),
//!     version: 0,
//!     state: member::State::Alive,
//!     address: ([127, 0, 0, 1], port).into(),
//!     zone: "amsterdam-hall".into(),
//! };
//! let seeds = vec![([127, 0, 0, 1], 2).into()];
//! let now = Instant::ZERO;
//! let settings = Settings { seeds, ..Settings::default() };
//! let mut first = Kernel::new(now, record("first", 1), settings, Pcg64Mcg::new(1));
//! let mut second = Kernel::new(now, record("second", 2), Settings::default(), Pcg64Mcg::new(2));
//!
//! let mut actions = Vec::new();
//! let now = Instant::from_secs(1);
//! first.handle(now, Event::Tick, &mut actions);
//! for action in actions {
//!     if let Action::Send { bytes, .. } = action {
//!         second.handle(now, Event::Received { from: first.me().address, bytes }, &mut Vec::new());
//!     }
//! }
//! assert!(second.members().find(&"first".into()).is_some());
//! ```

pub mod endpoint;
pub mod gossip;
pub mod handover;
pub mod kernel;
pub mod load;
pub mod mark;
pub mod member;
pub mod note;
pub mod prelude;
pub mod rendezvous;
pub mod settings;
pub mod tag;
pub mod usage;
pub mod wire;
pub mod zone;
