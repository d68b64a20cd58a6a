//! Capacity, placement and work-stealing policies without I/O.
//!
//! The holder of a service's capacity duty passes its observations to a [`duty::Kernel`] and executes the orders that
//! the kernel returns. At each tick a [`policy::Policy`] derives them from the [`Situation`](policy::Situation).
//! [`placement`] assigns models and adapters to VMs, and [`steal`] decides in which zone deferred jobs wait.
//!
//! ```
//! use bergamotshift_capacity::prelude::*;
//! use bergamotshift_core::prelude::*;
//!
//! let pool = |zone| Pool::new(name::Zone::new(zone), name::Class::from("gpu"), Market::Reclaimable);
//! let offers = ["a", "b", "c"].map(|zone| Offer { pool: pool(zone), price: Price::from_micros(1_000_000), rate: 1.0 });
//! let demand = Demand { urgent: 1.5, deferrable: 0.0 };
//! let mut policy = policy::build(policy::DEFAULT, policy::Settings::default()).expect("it is registered");
//! let actions = policy.plan(Instant::ZERO, &Situation { offers: &offers, vms: &[], demand });
//! assert_eq!(actions.len(), 3, "two VMs cover the demand when any one zone is lost");
//! ```

pub mod bench;
pub mod demand;
pub mod duty;
pub mod market;
pub mod placement;
pub mod policy;
pub mod prelude;
pub mod steal;
