//! What the holder of the duties tells all entries of an order.

use serde::Deserialize;
use serde::Serialize;

use crate::order::State;

/// A whole share, in thousandths.
pub const FULL_SHARE: u16 = 1_000;

/// What happens to the requests of a service while an order stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Phase {
    /// A bounded share goes to the new version, and both versions' answers are compared.
    Canary,
    /// One endpoint of the new version is loaded, by a share of the small requests, up to half of its places and more.
    Stress,
    /// The new version is taken for sound, and requests move to it.
    Shifting,
    /// The new version is taken for bad and gets nothing; the operators have not been told yet.
    Halted,
    /// The operators were told that the order is completed.
    Completed,
    /// The operators were told that the order is rolled back.
    RolledBack,
}

impl Phase {
    /// Returns whether the phase never changes again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
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

/// What the holder of the duties tells all entries of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Directive {
    /// The number of the order.
    pub order: u64,
    /// The fencing number under which the holder holds the duties; 0 for what was read from the operators' status.
    pub term: u64,
    /// Grows with each directive of a holder.
    pub step: u64,
    /// What happens to the requests.
    pub phase: Phase,
    /// The part of the requests that goes to the new version, in thousandths.
    pub share: u16,
}

impl Directive {
    /// Returns whether this one takes the place of another.
    pub fn replaces(&self, other: &Self) -> bool {
        let key = |one: &Self| (one.order, one.phase.is_final(), one.term, one.step);
        key(self) > key(other)
    }
}
