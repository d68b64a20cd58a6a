//! Schedule of the rounds in which an entry exchanges states with other entries.

use core::time::Duration;

/// Interval between two rounds.
const INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two rounds of a process that starts and does not know the keeper of its zone yet. Its callers wait
/// for that.
const STARTUP_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of rounds at the startup interval.
const MAX_STARTUP_ROUNDS: u32 = 20;

/// Timeout for another entry's reply. The latency between zones is a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for another entry's reply in a startup round.
const STARTUP_REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Timing of one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round {
    /// The delay before the round.
    pub delay: Duration,
    /// The timeout for another entry's reply.
    pub timeout: Duration,
}

/// Schedules rounds, faster while a process starts.
#[derive(Clone, Copy, Debug)]
pub struct Rounds {
    startup_rounds_left: u32,
}

impl Default for Rounds {
    fn default() -> Self {
        Self {
            startup_rounds_left: MAX_STARTUP_ROUNDS,
        }
    }
}

impl Rounds {
    /// Returns the timing of the next round; `is_discovering` says that the process does not know yet which entry
    /// decides for its callers.
    ///
    /// After a power loss of all entries, one that is back may contact one that is not: nothing refuses the connection,
    /// and the next round waits for it. With the usual timeout no entry knew the keeper of its zone for half a second,
    /// and half of all callers were refused. Entries that are back reply within milliseconds, so startup rounds are
    /// short.
    pub fn next(&mut self, is_discovering: bool) -> Round {
        if !is_discovering || self.startup_rounds_left == 0 {
            return Round {
                delay: INTERVAL,
                timeout: REPLY_TIMEOUT,
            };
        }
        self.startup_rounds_left -= 1;
        Round {
            delay: STARTUP_INTERVAL,
            timeout: STARTUP_REPLY_TIMEOUT,
        }
    }
}
