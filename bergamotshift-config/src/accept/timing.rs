//! The protocol's spans of time.

use core::time::Duration;

/// The spans of time and counts that the protocol keeps.
///
/// Safety rests on none of them; they decide how soon a change is in force and what it costs the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How often the first entries of a zone read the head.
    pub poll_interval: Duration,
    /// How often the other entries of a zone read the head, in case no peer tells them.
    pub idle_poll_interval: Duration,
    /// How many entries of each zone read the head often.
    pub pollers: u16,
    /// The longest pause after reads or writes that failed.
    pub max_backoff: Duration,
    /// How long an entry stands back for each live entry of its zone that ranks before it.
    pub standby_delay: Duration,
    /// How often a zone that has not staged yet shows that it is live.
    pub heartbeat_interval: Duration,
    /// How often an entry repeats its announcement to its neighbours.
    pub announce_interval: Duration,
    /// How often a proposer looks whether the zones have staged.
    pub watch_interval: Duration,
    /// How long a zone's row stays as it is until the zone stops counting.
    pub zone_timeout: Duration,
    /// How long another's proposal stands unchanged until it may be replaced; longer than `deadline`, so that a proposer
    /// that lives has withdrawn by then.
    pub takeover_timeout: Duration,
    /// How long a proposer waits for the zones before it withdraws.
    pub staging_timeout: Duration,
    /// How long a proposer waits for its turn.
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
