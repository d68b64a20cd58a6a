//! State of a keeper: the lease that it holds, its last write, and what it observed of other holders.

use bergamotshift_core::clock::Instant;

use super::Notice;

/// Phase of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The timer is set.
    Waiting,
    /// The lease's row is being read.
    Reading,
    /// The lease's row is being written.
    Writing,
    /// The duty is released for good.
    Resigned,
}

/// Lease that this entry holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Held {
    pub(super) number: u64,
    pub(super) version: u64,
    /// Time at which the lease expires by this entry's clock, counted from before the write that last renewed it.
    pub(super) until: Instant,
    /// Time from which orders may be sent to endpoints that do not check fencing numbers.
    pub(super) unfenced_from: Instant,
}

/// Version of another holder's row, and the time since which it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Observation {
    pub(super) version: u64,
    pub(super) since: Instant,
}

/// Last notice from another entry, and the time at which it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Received {
    pub(super) notice: Notice,
    pub(super) at: Instant,
}

impl Received {
    /// Returns the time at which a lease expires according to its holder; `None` if the notice is about another number
    /// or version.
    pub(super) fn expires_at(self, found_number: u64, found_version: u64) -> Option<Instant> {
        match self.notice {
            Notice::Holds { number, version, left } if (number, version) == (found_number, found_version) => {
                Some(self.at + left)
            }
            _ => None,
        }
    }

    /// Returns whether the holder gave up the lease with this number.
    pub(super) fn is_given_up(self, found_number: u64) -> bool {
        self.notice == Notice::GaveUp { number: found_number }
    }
}

/// Write of the lease that is in flight, or was sent last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Put {
    pub(super) number: u64,
    /// Version of the row that the write replaces.
    pub(super) base: u64,
    /// Time at which the write was first sent.
    pub(super) at: Instant,
    /// Whether the former holder had released the duty.
    pub(super) released: bool,
}

impl Put {
    /// Stands for no write.
    pub(super) const NONE: Self = Self {
        number: 0,
        base: 0,
        at: Instant::ZERO,
        released: false,
    };
}
