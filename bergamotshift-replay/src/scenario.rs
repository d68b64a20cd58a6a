//! What one run replays.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::site;
use crate::site::Site;
use crate::workload;
use crate::workload::Workload;

/// A workload with the site that it runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Load {
    /// Oranjehal's Friday.
    OranjehalDay,
    /// Mapa Limpio's night.
    MapaNight,
    /// The target size, for a short span.
    TargetSize,
}

impl Load {
    /// The workloads of today's sites.
    pub const TODAY: [Self; 2] = [Self::OranjehalDay, Self::MapaNight];

    /// Returns the workload.
    pub fn workload(self) -> Workload {
        match self {
            Self::OranjehalDay => workload::oranjehal_day(),
            Self::MapaNight => workload::mapa_night(),
            Self::TargetSize => workload::target_size(),
        }
    }

    /// Returns the site.
    pub fn site(self) -> Site {
        match self {
            Self::OranjehalDay | Self::MapaNight => site::today(),
            Self::TargetSize => site::target_size(),
        }
    }

    /// Returns its name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OranjehalDay => "oranjehal-day",
            Self::MapaNight => "mapa-night",
            Self::TargetSize => "target-size",
        }
    }
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing beyond the ordinary lag, gaps and prices.
    #[default]
    Calm,
    /// All VMs of one zone get notice at once near the peak; starts there are refused from then on.
    Zone,
    /// A second zone follows a minute later, and starts on the reclaimable market are refused for three minutes.
    TwoWaves,
    /// Reports and cache events come ten seconds late, and half of the cache events are lost, for a third of the span.
    Stale,
    /// The platform takes no orders for a third of the span, from before the peak on.
    Platform,
    /// One request crashes each endpoint that runs it, and its caller sends it again.
    Poison,
}

impl Fault {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Calm,
        Self::Zone,
        Self::TwoWaves,
        Self::Stale,
        Self::Platform,
        Self::Poison,
    ];

    /// Returns its name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Zone => "zone",
            Self::TwoWaves => "two-waves",
            Self::Stale => "stale",
            Self::Platform => "platform",
            Self::Poison => "poison",
        }
    }
}

/// One run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// The workload and its site.
    pub load: Load,
    /// What goes wrong.
    pub fault: Fault,
    /// The routing policy's name.
    pub policy: String,
    /// The share of the held engines' time that the capacity loop plans to use.
    pub heat: f64,
    /// Seeds arrivals, draws and losses.
    pub seed: u64,
    /// Whether streams of leaving endpoints are planned, where the policy is the default one; else they are cut.
    pub plan_reclaims: bool,
    /// Shortens the span in which requests arrive; the load's shape is shortened with it.
    pub span: Option<Duration>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            load: Load::OranjehalDay,
            fault: Fault::Calm,
            policy: bergamotshift_route::policy::DEFAULT.to_owned(),
            heat: 0.7,
            seed: 1,
            plan_reclaims: true,
            span: None,
        }
    }
}

impl Scenario {
    /// Returns the workload with the scenario's span.
    pub fn workload(&self) -> Workload {
        let workload = self.load.workload();
        let span = self.span.unwrap_or(workload.span);
        Workload { span, ..workload }
    }

    /// Returns the moment at a share of the span, in thousandths.
    pub(crate) fn moment(&self, permille: u64) -> Instant {
        let span = self.workload().span.as_micros() as u64;
        Instant::from_micros(span / 1_000 * permille)
    }
}
