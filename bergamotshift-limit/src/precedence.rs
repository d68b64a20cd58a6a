//! Precedence of streams that their callers take up within a limit.
//!
//! A stream that broke off has been admitted once, and its caller has a part of it. At a limit that is used up it would wait
//! among requests that begin, which are more numerous. So streams that are refused are asked back one after the other, and
//! until then requests that begin leave them a part of the burst. What is admitted in all stays within the same limit.
//!
//! ```
//! use core::time::Duration;
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::precedence::{Kind, Level, Precedence};
//!
//! let precedence = Precedence::default();
//! let now = Instant::from_secs(5);
//! let level = Level {
//!     owed: Duration::from_millis(1_200),
//!     burst: Duration::from_secs(1),
//!     cost: Duration::from_millis(100),
//! };
//! assert_eq!(precedence.admit(now, Kind::New, level), Err(Duration::from_millis(200)));
//! assert_eq!(precedence.admit(now, Kind::Resumed, level), Err(Duration::from_millis(200)));
//! assert_eq!(precedence.admit(now, Kind::Resumed, level), Err(Duration::from_millis(300)));
//! assert_eq!(precedence.admit(now, Kind::New, level), Err(Duration::from_millis(600)));
//! ```

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

/// Divisor of the burst, of which at most one part is kept for streams.
const DIVISOR: u32 = 2;

/// Longest time for which streams are asked back in turn. Callers who do not wait would extend it without end.
const MAX_QUEUE: Duration = Duration::from_secs(3);

/// Kind of a request that asks for a part of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// It begins.
    #[default]
    New,
    /// It goes on with a stream that broke off.
    Resumed,
}

/// Level of a limit, and the cost of a request, each as the time in which the limit's rate pays for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Level {
    /// Units that were used and are not paid for.
    pub owed: Duration,
    /// Units that may be owed before a request is refused.
    pub burst: Duration,
    /// Units that the request needs.
    pub cost: Duration,
}

/// Streams that are taken up within a limit, for the requests of all threads.
#[derive(Debug, Default)]
pub struct Precedence {
    /// Time at which the limit has paid for all streams that were refused, in microseconds.
    queue_end: AtomicU64,
}

impl Precedence {
    /// Decides on a request.
    ///
    /// # Errors
    ///
    /// Returns the time until the request may be admitted.
    pub fn admit(&self, now: Instant, kind: Kind, level: Level) -> Result<(), Duration> {
        match kind {
            Kind::New => self.admit_new(now, level),
            Kind::Resumed => self.admit_resumed(now, level),
        }
    }

    fn admit_new(&self, now: Instant, level: Level) -> Result<(), Duration> {
        let queued = Instant::from_micros(self.queue_end.load(Relaxed)).since(now);
        let kept = queued.min(level.burst / DIVISOR);
        let wait = (level.owed + kept).saturating_sub(level.burst);
        if wait.is_zero() { Ok(()) } else { Err(wait) }
    }

    fn admit_resumed(&self, now: Instant, level: Level) -> Result<(), Duration> {
        let paid = level.owed.saturating_sub(level.burst);
        if paid.is_zero() {
            return Ok(());
        }
        let turn = |queue_end: u64| (now + paid).max(Instant::from_micros(queue_end).min(now + MAX_QUEUE));
        let before = self
            .queue_end
            .update(Relaxed, Relaxed, |queue_end| (turn(queue_end) + level.cost).as_micros());
        Err(turn(before).since(now))
    }
}
