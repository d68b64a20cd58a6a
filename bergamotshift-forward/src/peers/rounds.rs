//! When an entry asks the others next, and how long it waits for them.

use core::time::Duration;

/// The time between two rounds.
const PAUSE: Duration = Duration::from_millis(250);

/// The time between two rounds of a process that starts and does not know yet who keeps its zone: its callers wait for that.
const QUICK_PAUSE: Duration = Duration::from_millis(60);

/// How many such rounds there are at the most.
const QUICK_ROUNDS: u32 = 20;

/// How long an entry may take to answer; a way between zones takes milliseconds.
const PATIENCE: Duration = Duration::from_millis(400);

/// The same in a quick round.
const QUICK_PATIENCE: Duration = Duration::from_millis(100);

/// A round of questions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round {
    /// The time before it.
    pub delay: Duration,
    /// How long an entry may take to answer.
    pub timeout: Duration,
}

/// Tells when an entry asks the others next.
#[derive(Clone, Copy, Debug)]
pub struct Rounds {
    quick: u32,
}

impl Default for Rounds {
    fn default() -> Self {
        Self { quick: QUICK_ROUNDS }
    }
}

impl Rounds {
    /// Returns the next round; `is_lost` says that the process does not know yet who decides for its callers.
    ///
    /// Failure: all entries lose power, and one that is back asks one that is not: nothing refuses the connection, and the
    /// next round waits for it. Symptom: for half a second nobody knows who keeps the zone, and half of all callers are
    /// refused. Entries that are back answer within milliseconds, so a round of a process that starts is short.
    pub fn next(&mut self, is_lost: bool) -> Round {
        if !is_lost || self.quick == 0 {
            return Round {
                delay: PAUSE,
                timeout: PATIENCE,
            };
        }
        self.quick -= 1;
        Round {
            delay: QUICK_PAUSE,
            timeout: QUICK_PATIENCE,
        }
    }
}
