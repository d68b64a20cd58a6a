//! Directives of the duty holder to all entries.

use serde::Deserialize;
use serde::Serialize;

use crate::order::State;

/// Share of all requests, in thousandths.
pub const FULL_SHARE: u16 = 1_000;

/// Phase of a rollout, which determines where the requests of a service go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Phase {
    /// A bounded share of the requests goes to the new version, and the answers of both versions are compared.
    Canary,
    /// A share of the small requests loads one endpoint of the new version to more than half of its slots.
    Stress,
    /// The new version is accepted, and requests move to it in steps.
    Shifting,
    /// The new version is rejected and gets no requests; this has not been reported to the operators yet.
    Halted,
    /// The order is completed, and this has been reported to the operators.
    Completed,
    /// The order is rolled back, and this has been reported to the operators.
    RolledBack,
}

impl Phase {
    /// Returns whether the phase is final.
    pub const fn is_final(self) -> bool {
        self.final_state().is_some()
    }

    /// Returns the state that operators read in a final phase.
    pub const fn final_state(self) -> Option<State> {
        match self {
            Self::Completed => Some(State::Completed),
            Self::RolledBack => Some(State::RolledBack),
            Self::Canary | Self::Stress | Self::Shifting | Self::Halted => None,
        }
    }
}

impl From<State> for Phase {
    fn from(state: State) -> Self {
        match state {
            State::Running => Self::Canary,
            State::Completed => Self::Completed,
            State::RolledBack => Self::RolledBack,
        }
    }
}

/// Directive of the duty holder to all entries about one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Directive {
    /// Number of the order.
    pub order: u64,
    /// Fencing number of the duty holder; 0 for a state read from the operators' status.
    pub term: u64,
    /// Sequence number, which increases with each directive of a duty holder.
    pub step: u64,
    /// Phase of the rollout.
    pub phase: Phase,
    /// Share of the requests that goes to the new version, in thousandths.
    pub share: u16,
}

impl Directive {
    /// Returns whether this directive replaces another one.
    pub fn replaces(&self, other: &Self) -> bool {
        let rank = |one: &Self| (one.order, one.phase.is_final(), one.term, one.step);
        rank(self) > rank(other)
    }
}
