//! Control duties: the capacity of each service, held by one entry at a time.
//!
//! A [`Lease`] holds the duty through the platform's table, or watches who does. While it is held a [`Capacity`]
//! decides what to buy, drain and give back, and carries that out through the platform's cloud and the endpoints'
//! orders. Each order is given only with the lease's permit, which is asked for anew just before, by this entry's own
//! clock: a holder that was paused finds its lease over, and gives none.
//!
//! With the table away the lease runs out and no order is given; requests are served on. [`task::run`] keeps all duties
//! of an entry that has the platform's table, VM list and cloud.

mod capacity;
mod loader;
mod picture;
pub mod task;

use core::time::Duration;

use bergamotshift_capacity::duty;
use bergamotshift_capacity::policy;
use bergamotshift_claim::lease as keeper;
use smol_str::SmolStr;

pub use bergamotshift_forward::duty::Change;
pub use bergamotshift_forward::duty::Clock;
pub use bergamotshift_forward::duty::Lease;

pub use self::capacity::Capacity;
pub use self::capacity::Hands;
pub use self::picture::Picture;
pub use self::picture::Reached;

/// How control duties are done.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How leases are kept.
    pub lease: keeper::Settings,
    /// How long a duty waits for others.
    pub duty: duty::Settings,
    /// What the capacity policy is told.
    pub policy: policy::Settings,
    /// The capacity policy's name.
    pub policy_name: SmolStr,
    /// The time between two looks at a duty.
    pub tick: Duration,
    /// The time between two readings of the VM list by a duty's holder.
    pub list: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: keeper::Settings::default(),
            duty: duty::Settings::default(),
            policy: policy::Settings::default(),
            policy_name: SmolStr::new_static(policy::DEFAULT),
            tick: Duration::from_secs(1),
            list: Duration::from_secs(5),
        }
    }
}
