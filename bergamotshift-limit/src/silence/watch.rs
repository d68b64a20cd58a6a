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
    /// Time of the last search that failed in this silence, and whether a replacement was sent.
    searched: Option<(Instant, bool)>,
}

impl Watch {
    /// Creates a watch over an attempt that was heard now, whose silence is normal up to `limit`.
    ///
    /// A check is believed for at most half of the limit, so that an endpoint that is cut off after one is left in time, but
    /// for at least the time between two looks.
    pub fn new(settings: Settings, limit: Duration, now: Instant) -> Self {
        let check_ttl = settings.check_ttl.min((limit / 2).max(settings.interval));
        Self {
            settings: Settings { check_ttl, ..settings },
            limit,
            heard: now,
            searched: None,
        }
    }

    /// Records bytes of the attempt.
    pub const fn record(&mut self, now: Instant) {
        self.heard = now;
        self.searched = None;
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
    /// limit is over once more, unless the endpoint is not reached.
    pub const fn postpone(&mut self, now: Instant, was_sent: bool) {
        self.searched = Some((now, was_sent));
    }

    /// Returns the time for which a replacement that is sent now may work beside the attempt, by the path to its endpoint; `None`
    /// without a bound. A replacement that is sent later than it was decided on needs a new bound: a path that was not
    /// reached may be reached again.
    pub const fn overlap(&self, path: Path) -> Option<Duration> {
        match path {
            Path::Unreached | Path::Gone => None,
            Path::Unknown | Path::Reached => Some(self.settings.max_overlap),
        }
    }

    /// Decides on the attempt, by the path to its endpoint and the extent of the silence.
    pub fn decide(&self, now: Instant, path: Path, extent: Extent) -> Action {
        let expires = self.heard + self.limit;
        if now < expires {
            let check_at = self.check_at();
            return Action::Wait(if now < check_at { check_at } else { expires });
        }
        match (path, extent) {
            (Path::Gone, _) => return Action::GiveUp,
            (Path::Unknown | Path::Reached, Extent::Common) => return Action::Wait(now + self.look_interval()),
            (Path::Unreached, _) | (Path::Unknown | Path::Reached, Extent::Single) => {}
        }
        let overlap = self.overlap(path);
        let next_search = self.next_search(overlap.is_some());
        if now < next_search {
            return Action::Wait(next_search.min(now + self.look_interval()));
        }
        Action::Replace { overlap }
    }

    /// Returns the time between two looks. A check is renewed at a look, so with longer ones its outcome would be known too late.
    fn look_interval(&self) -> Duration {
        self.settings.interval.min(self.settings.check_ttl / 2)
    }

    /// Returns the time from which a replacement may be looked for; `may_work` is whether the endpoint may still work.
    fn next_search(&self, may_work: bool) -> Instant {
        self.searched.map_or(Instant::ZERO, |(searched, was_sent)| {
            let pause = if was_sent && may_work {
                self.limit
            } else {
                self.settings.interval
            };
            searched + pause
        })
    }
}
