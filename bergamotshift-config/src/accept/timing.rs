//! Intervals, delays and timeouts of the protocol.

use core::time::Duration;

/// Intervals, delays, timeouts and counts of the protocol.
///
/// The protocol is safe with any values. They decide how soon a change is in force and how many calls to the platform it
/// takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Interval at which the pollers of a zone read the head.
    pub poll_interval: Duration,
    /// Interval at which the other entries of a zone read the head, in case no peer announces it to them.
    pub idle_poll_interval: Duration,
    /// Number of pollers in each zone: the entries with the lowest ranks, which read the head often.
    pub pollers: u16,
    /// Maximum backoff of a member after failed reads or fetches. A proposer continues to retry for this time after its
    /// deadline.
    pub max_backoff: Duration,
    /// Delay of an entry's stage write for each live entry of its zone with a lower rank. An entry that is no poller also
    /// waits this long for a peer that holds the content before it fetches from the platform.
    pub standby_delay: Duration,
    /// Interval at which a zone that has not staged yet writes its row to show that it is live.
    pub heartbeat_interval: Duration,
    /// Interval at which an entry repeats an unchanged announcement to its neighbours.
    pub announce_interval: Duration,
    /// Interval at which a proposer reads the rows of the zones. A member uses it as the first backoff of a fetch, as the
    /// delay before it reads again after a failed write, and as the interval between the repeats of a new announcement.
    pub watch_interval: Duration,
    /// Time without a change of a zone's row after which the acceptance does not wait for the zone any more.
    pub zone_timeout: Duration,
    /// Time for which another operator's proposal has to stand unchanged before it may be replaced. It is longer than
    /// `staging_timeout`, so that a live proposer has withdrawn by then. After this time, a member no longer shows that it
    /// is fetching the content of a proposal.
    pub takeover_timeout: Duration,
    /// Time for which a proposer waits for the zones before it withdraws.
    pub staging_timeout: Duration,
    /// Time for which a proposer waits until the head is free of another operator's proposal.
    pub turn_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(1),
            idle_poll_interval: Duration::from_secs(30),
            pollers: 2,
            max_backoff: Duration::from_secs(10),
            standby_delay: Duration::from_secs(1),
            heartbeat_interval: Duration::from_secs(1),
            announce_interval: Duration::from_secs(2),
            watch_interval: Duration::from_millis(250),
            zone_timeout: Duration::from_secs(3),
            takeover_timeout: Duration::from_secs(15),
            staging_timeout: Duration::from_secs(10),
            turn_timeout: Duration::from_mins(1),
        }
    }
}
