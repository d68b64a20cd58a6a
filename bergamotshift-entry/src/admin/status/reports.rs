//! What other parts of the entry report for its status.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use smol_str::SmolStr;

use super::Lease;
use super::Member;
use super::Part;

/// Holds the last report of each part; nothing on the path of a request reads or writes it.
#[derive(Debug, Default)]
pub struct Reports {
    members: ArcSwapOption<Vec<Member>>,
    leases: ArcSwap<Vec<Lease>>,
    platform: Mutex<Platform>,
}

/// Whether calls of the platform were answered.
#[derive(Debug, Default)]
struct Platform {
    /// The last call of each part.
    parts: BTreeMap<&'static str, bool>,
    /// The last call of each kind.
    calls: BTreeMap<(&'static str, &'static str), bool>,
}

impl Reports {
    /// Takes the entries of the fleet.
    pub fn set_members(&self, members: Vec<Member>) {
        self.members.store(Some(Arc::new(members)));
    }

    /// Takes the control duties that the entry holds.
    pub fn set_leases(&self, leases: Vec<Lease>) {
        self.leases.store(Arc::new(leases));
    }

    /// Takes whether a part of the platform answered a call; returns whether that is news for this kind of call.
    ///
    /// The first answer is no news: it is what everybody takes for granted. News are told by kind, because calls of
    /// two kinds overlap: one that began before an outage and ended in it would look like the outage's end.
    pub fn set_platform(&self, part: &'static str, call: &'static str, answers: bool) -> bool {
        let mut platform = self.platform.lock().unwrap_or_else(PoisonError::into_inner);
        platform.parts.insert(part, answers);
        platform.calls.insert((part, call), answers).unwrap_or(true) != answers
    }

    /// Returns the entries of the fleet, when there is one.
    pub fn members(&self) -> Option<Arc<Vec<Member>>> {
        self.members.load_full()
    }

    /// Returns the control duties that the entry holds.
    pub fn leases(&self) -> Arc<Vec<Lease>> {
        self.leases.load_full()
    }

    /// Returns how the parts of the platform answered last.
    pub fn platform(&self) -> Vec<Part> {
        let platform = self.platform.lock().unwrap_or_else(PoisonError::into_inner);
        let parts = platform.parts.iter().map(|(name, answers)| Part {
            name: SmolStr::new_static(name),
            answers: *answers,
        });
        parts.collect()
    }
}
