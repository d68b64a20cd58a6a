//! Rollout orders of operators and their reported state.

use core::time::Duration;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Operator's order to run another version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Service that the order applies to.
    pub service: name::Service,
    /// Version that the service is to run.
    pub to: SmolStr,
    /// Time limit within which the order has to be completed or rolled back.
    pub duration: Duration,
    /// Number of the order, which increases with each order for a service; a later order replaces the earlier one.
    pub number: u64,
    /// Number of times that the operators' storage had been restored from a copy when the order was read. Operators write
    /// their orders again after a restore.
    pub era: u64,
}

impl Order {
    /// Returns whether this order is `before`, written again after the operators' storage was restored.
    pub fn repeats(&self, before: &Self) -> bool {
        self.era > before.era
            && (&self.service, &self.to, self.duration) == (&before.service, &before.to, before.duration)
    }
}

/// State of an order, as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The new version is being evaluated or requests are moving to it.
    Running,
    /// All requests go to the new version; the endpoints of the previous version may stop.
    Completed,
    /// No requests go to the new version.
    RolledBack,
}

impl State {
    /// Returns whether the state is final.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}
