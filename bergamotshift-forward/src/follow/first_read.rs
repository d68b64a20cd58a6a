//! First reads of the store by entries that start.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::turn::scale_pause;
use crate::random;
use crate::settings::Settings;

/// Time after its start for which an entry waits for other entries, before it reads the store itself. Callers wait for
/// longer than that.
const PEER_WAIT: Duration = Duration::from_millis(150);

/// Interval over which the first reads of a small fleet are spread. It grows with the fleet, so that the store gets as many
/// of them in a second.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(250);

/// Maximum time after its start for which an entry waits for other entries.
const MAX_PEER_WAIT: Duration = Duration::from_secs(3);

/// Time within which an entry that starts gets to know others, if there are any.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Share of a core from which on an entry reads the store at once after its start.
const READER_CORE_SHARE: f64 = 0.5;

/// Turn of an entry to read the store after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FirstRead {
    /// It reads at once, for others too.
    AtOnce,
    /// It reads only what no other entry provides, after this fraction of the time over which first reads are spread.
    After(f64),
}

impl FirstRead {
    /// Returns the turn of an entry. Entries that others contact first read for them, and so do those whose VMs can serve many
    /// others.
    pub fn of(settings: &Settings) -> Self {
        let seeds = &settings.peers.seeds;
        let is_contacted_first = seeds.is_empty() || seeds.contains(&settings.peers_address());
        if is_contacted_first || settings.core_share >= READER_CORE_SHARE {
            Self::AtOnce
        } else {
            Self::after(&settings.name)
        }
    }

    /// Returns the turn of an entry that does not read for others.
    pub fn after(entry: &name::Entry) -> Self {
        Self::After(random::fraction_of(entry))
    }

    /// Returns whether the entry still leaves to others what one entry does for all, `since_start` after its start. It does
    /// not know yet how many others there are.
    pub fn is_deferring(self, since_start: Duration) -> bool {
        matches!(self, Self::After(_)) && since_start < DISCOVERY_TIME
    }

    /// Returns the time until the entry has to read the store itself, `since_start` after its start, when `members`
    /// entries are known. `may_be_given` tells whether one of them has what is missing.
    ///
    /// If every entry of a large fleet read the store at its start, their reads would be most of a day's calls, and fill
    /// the store's link.
    pub fn due(self, since_start: Duration, members: usize, may_be_given: bool) -> Duration {
        let wait = match self {
            Self::AtOnce => Duration::ZERO,
            Self::After(_) if may_be_given => MAX_PEER_WAIT,
            Self::After(fraction) => PEER_WAIT + scale_pause(FIRST_READ_SPREAD, members).mul_f64(fraction),
        };
        wait.min(MAX_PEER_WAIT).saturating_sub(since_start)
    }
}
