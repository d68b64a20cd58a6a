//! Routing without I/O: endpoint selection, latency and cost estimates, and migration plans for reclaimed VMs.
//!
//! A control task applies events to a [`Registry`](registry::Registry) and publishes an immutable [`View`]. Worker
//! threads describe each call as a [`Request`] and let a [`Policy`] choose an endpoint. The only shared state that they
//! write is atomic counters and prefix hints.
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
//! let policy = policy::build("target-then-cost").expect("the policy is registered");
//! let request = Request { service, prompt_tokens: 400, ..Request::default() };
//! let choice = policy.choose(&view, &request, &mut Pcg64Mcg::new(7)).expect("an endpoint is live");
//! assert_eq!(choice.key, key);
//! let in_flight = view.record_sent(&choice, &request);
//! drop(in_flight); // the attempt has ended
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
pub mod speed;
pub mod view;

pub use choice::Choice;
pub use choice::Refusal;
pub use error::Error;
pub use estimate::Estimate;
pub use policy::Policy;
pub use request::Request;
pub use view::View;
