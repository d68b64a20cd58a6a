//! Latest reports of the entry's subsystems, from which the status is assembled.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use smol_str::SmolStr;

use super::Dependency;
use super::Lease;
use super::Member;

/// Last report of each subsystem. Nothing on the request path reads or writes it.
#[derive(Debug, Default)]
pub struct Reports {
    members: ArcSwapOption<Vec<Member>>,
    leases: ArcSwap<Vec<Lease>>,
    platform: Mutex<Platform>,
}

/// Results of the last calls to the platform: `true` if the call was answered.
#[derive(Debug, Default)]
struct Platform {
    /// Result of the last call to each dependency.
    dependencies: BTreeMap<&'static str, bool>,
    /// Result of the last call of each kind, by dependency and call.
    calls: BTreeMap<(&'static str, &'static str), bool>,
}

impl Reports {
    /// Replaces the list of the other entries of the fleet.
    pub fn set_members(&self, members: Vec<Member>) {
        self.members.store(Some(Arc::new(members)));
    }

    /// Replaces the list of leases that the entry holds.
    pub fn set_leases(&self, leases: Vec<Lease>) {
        self.leases.store(Arc::new(leases));
    }

    /// Records whether a dependency answered a call; returns whether the result changed for this kind of call.
    ///
    /// A dependency is presumed to answer, so a first call that is answered is no change. Changes are tracked for each
    /// kind of call, because calls of two kinds overlap: one that began before an outage and ended during it would look
    /// like the end of the outage.
    pub fn set_platform(&self, dependency: &'static str, call: &'static str, answers: bool) -> bool {
        let mut platform = self.platform.lock().unwrap_or_else(PoisonError::into_inner);
        platform.dependencies.insert(dependency, answers);
        platform.calls.insert((dependency, call), answers).unwrap_or(true) != answers
    }

    /// Returns the other entries of the fleet, or `None` if none were reported.
    pub fn members(&self) -> Option<Arc<Vec<Member>>> {
        self.members.load_full()
    }

    /// Returns the leases that the entry holds.
    pub fn leases(&self) -> Arc<Vec<Lease>> {
        self.leases.load_full()
    }

    /// Returns the result of the last call to each dependency of the platform.
    pub fn platform(&self) -> Vec<Dependency> {
        let platform = self.platform.lock().unwrap_or_else(PoisonError::into_inner);
        let dependencies = platform.dependencies.iter().map(|(name, answers)| Dependency {
            name: SmolStr::new_static(name),
            answers: *answers,
        });
        dependencies.collect()
    }
}
