//! Decisions on one attempt.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::Extent;
use super::Path;
use super::Settings;

/// Action of a client whose attempt is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read on, and decide again at this time.
    Wait(Instant),
    /// Look for a replacement and read on meanwhile. The attempt ends when the replacement has begun to answer.
    Replace {
        /// Time after sending within which the replacement has to begin to answer; `None` if the first attempt cannot be
        /// stopped, as its endpoint is not reached.
        overlap: Option<Duration>,
    },
    /// End the attempt, since its endpoint is dead.
    GiveUp,
}

/// Watch over the silence of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    settings: Settings,
    limit: Duration,
    heard: Instant,
    next_search: Instant,
}

impl Watch {
    /// Creates a watch over an attempt that was heard now, whose silence is normal up to `limit`.
    pub const fn new(settings: Settings, limit: Duration, now: Instant) -> Self {
        Self {
            settings,
            limit,
            heard: now,
            next_search: Instant::ZERO,
        }
    }

    /// Records bytes of the attempt.
    pub const fn record(&mut self, now: Instant) {
        self.heard = now;
        self.next_search = Instant::ZERO;
    }

    /// Returns the time of the attempt's last bytes.
    pub const fn heard(&self) -> Instant {
        self.heard
    }

    /// Returns the time up to which silence is normal.
    pub const fn limit(&self) -> Duration {
        self.limit
    }

    /// Returns the time from which the path to the endpoint is to be checked.
    pub fn check_at(&self) -> Instant {
        self.heard + self.limit.saturating_sub(self.settings.check_lead).max(self.limit / 2)
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Records that a search for a replacement failed; `was_sent` is whether one was sent, which is not repeated before the
    /// limit is over once more.
    pub fn postpone(&mut self, now: Instant, was_sent: bool) {
        let pause = if was_sent { self.limit } else { self.settings.interval };
        self.next_search = now + pause;
    }

    /// Decides on the attempt, by the path to its endpoint and the extent of the silence.
    pub fn decide(&self, now: Instant, path: Path, extent: Extent) -> Action {
        let expires = self.heard + self.limit;
        if now < expires {
            let check_at = self.check_at();
            return Action::Wait(if now < check_at { check_at } else { expires });
        }
        let overlap = match (path, extent) {
            (Path::Gone, _) => return Action::GiveUp,
            (Path::Unreached, _) => None,
            (Path::Unknown | Path::Reached, Extent::Common) => return Action::Wait(now + self.settings.interval),
            (Path::Unknown | Path::Reached, Extent::Single) => Some(self.settings.max_overlap),
        };
        if now < self.next_search {
            return Action::Wait(self.next_search);
        }
        Action::Replace { overlap }
    }
}
