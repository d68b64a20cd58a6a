//! Control duties: the capacity of each service, managed by one entry at a time.
//!
//! A [`Lease`] holds the duty through the platform's table, or watches its holder. While the duty is held, a
//! [`Capacity`] decides which VMs to buy, drain and stop, and carries this out through the platform's cloud and orders
//! to endpoints. Each order needs a permit of the lease, which is checked immediately before by this entry's own clock:
//! a holder that was paused finds its lease expired and gives no order.
//!
//! While the table is unavailable the lease expires and no order is given; requests are still served. [`task::run`]
//! runs all duties of an entry that has the platform's table, VM list and cloud.

mod capacity;
mod loader;
mod observation;
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
pub use self::capacity::Clients;
pub use self::observation::Endpoint;
pub use self::observation::Observation;

/// Settings of control duties.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Settings of leases.
    pub lease: keeper::Settings,
    /// Settings of the capacity kernel, such as how long it waits for the VM list.
    pub duty: duty::Settings,
    /// Settings of the capacity policy.
    pub policy: policy::Settings,
    /// Name of the capacity policy.
    pub policy_name: SmolStr,
    /// Interval between two rounds of the duties.
    pub tick_interval: Duration,
    /// Interval between two reads of the VM list by a duty's holder.
    pub list_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: keeper::Settings::default(),
            duty: duty::Settings::default(),
            policy: policy::Settings::default(),
            policy_name: SmolStr::new_static(policy::DEFAULT),
            tick_interval: Duration::from_secs(1),
            list_interval: Duration::from_secs(5),
        }
    }
}
