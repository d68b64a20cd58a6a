//! Signs of life of an endpoint.

use core::sync::atomic::AtomicU32;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::prelude::*;

/// Path to a silent endpoint, as far as it was checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Path {
    /// It was not checked since the endpoint fell silent.
    #[default]
    Unknown,
    /// The endpoint accepted a connection, so that its work may go on.
    Reached,
    /// The endpoint accepted no connection: it may be cut off, or dead.
    Unreached,
    /// The endpoint accepted no connection and is not registered any more.
    Gone,
}

impl Path {
    /// Returns the name of the path's state in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Reached => "reached",
            Self::Unreached => "unreached",
            Self::Gone => "gone",
        }
    }
}

/// Check of the path to an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Check {
    began: Instant,
    /// Outcome, and the time at which the check whose outcome it is began.
    outcome: Option<(Instant, Path)>,
}

/// Signs of life of one endpoint, shared by all attempts at it.
#[derive(Debug, Default)]
pub struct Pulse {
    /// Time of the last bytes of an answer, in microseconds.
    heard: AtomicU64,
    /// Number of answers that have begun and not ended.
    answers: AtomicU32,
    check: Mutex<Check>,
}

impl Pulse {
    /// Records that an answer begins.
    pub fn begin(&self, now: Instant) {
        self.answers.fetch_add(1, Relaxed);
        self.record(now);
    }

    /// Records that an answer that had begun ended or was given up.
    pub fn end(&self) {
        self.answers.fetch_sub(1, Relaxed);
    }

    /// Records bytes of an answer.
    pub fn record(&self, now: Instant) {
        self.heard.fetch_max(now.as_micros(), Relaxed);
    }

    /// Returns the time since the last bytes of any answer; `None` if no answer has begun and not ended.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        let heard = Instant::from_micros(self.heard.load(Relaxed));
        (self.answers.load(Relaxed) > 0).then(|| now.since(heard))
    }

    /// Returns whether the caller has to check the path to an endpoint that fell silent at `since`; it has to report the
    /// outcome with [`Pulse::record_path`]. One check serves all attempts for the time `ttl`.
    pub fn claim_check(&self, now: Instant, since: Instant, ttl: Duration) -> bool {
        let mut check = self.lock();
        let is_due = check.began <= since || now.since(check.began) >= ttl;
        if is_due {
            check.began = now;
        }
        is_due
    }

    /// Records the outcome of a check that began at `began`.
    pub fn record_path(&self, began: Instant, path: Path) {
        self.lock().outcome = Some((began, path));
    }

    /// Returns the outcome of the last check, if it began after `since`.
    pub fn path(&self, since: Instant) -> Path {
        let outcome = self.lock().outcome;
        outcome
            .filter(|(began, _)| *began > since)
            .map_or(Path::Unknown, |(_, path)| path)
    }

    fn lock(&self) -> MutexGuard<'_, Check> {
        self.check.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
