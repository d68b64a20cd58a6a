//! Capacity, placement and work-stealing policies without I/O.
//!
//! The holder of a service's capacity duty feeds a [`duty::Kernel`] and carries out its orders; what they are is
//! decided by a [`policy::Policy`], which sees the [`Situation`](policy::Situation) at each tick. [`placement`] decides which models and adapters lie on which VM, and
//! [`steal`] in which zone deferred jobs wait.
//!
//! ```
//! use bergamotshift_capacity::prelude::*;
//! use bergamotshift_core::prelude::*;
//!
//! let pool = |zone| Pool::new(name::Zone::new(zone), name::Class::from("gpu"), Market::Reclaimable);
//! let offers = ["a", "b", "c"].map(|zone| Offer { pool: pool(zone), price: Price::from_micros(1_000_000), rate: 1.0 });
//! let demand = Demand { urgent: 1.5, deferrable: 0.0 };
//! let mut policy = policy::build(policy::DEFAULT, policy::Settings::default()).expect("it registers itself");
//! let actions = policy.plan(Instant::ZERO, &Situation { offers: &offers, vms: &[], demand });
//! assert_eq!(actions.len(), 3, "two VMs carry the demand when any one zone is lost");
//! ```

pub mod bench;
pub mod demand;
pub mod duty;
pub mod market;
pub mod placement;
pub mod policy;
pub mod prelude;
pub mod steal;
