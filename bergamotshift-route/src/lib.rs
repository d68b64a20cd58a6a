//! Routing without I/O: which endpoint runs a request, what that is expected to cost, and what a reclaim does to streams.
//!
//! A control task folds events into a [`Registry`](registry::Registry) and publishes an immutable [`View`]. Threads
//! that serve callers describe a request as a [`Request`] and let a [`Policy`] choose; the only shared state they write is
//! atomic counters and hints.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_route::prelude::*;
//! use rand_pcg::Pcg64Mcg;
//!
//! let mut registry = Registry::default();
//! let service = registry.service(&name::Service::new("planner"))?;
//! let zone = registry.zone(&name::Zone::new("north"))?;
//! let key = registry.insert(Endpoint { service, zone, ..Endpoint::default() })?;
//!
//! let view = registry.publish(Instant::ZERO);
//! let policy = policy::build("target-then-cost").expect("it registered itself");
//! let request = Request { service, prompt_tokens: 400, ..Request::default() };
//! let choice = policy.choose(&view, &request, &mut Pcg64Mcg::new(7)).expect("one endpoint is live");
//! assert_eq!(choice.key, key);
//! let in_flight = view.record_sent(&choice, &request);
//! drop(in_flight); // the answer is whole
//! # Ok::<(), bergamotshift_route::Error>(())
//! ```

pub mod choice;
pub mod error;
pub mod estimate;
pub mod flight;
pub mod policy;
pub mod prefix;
pub mod prelude;
pub mod reclaim;
pub mod registry;
pub mod request;
pub mod set;
pub mod view;

pub use choice::Choice;
pub use choice::Refusal;
pub use error::Error;
pub use estimate::Estimate;
pub use policy::Policy;
pub use request::Request;
pub use view::View;
