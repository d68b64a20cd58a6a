//! Renewal of witnesses, which endpoints close when they are idle.

use core::time::Duration;

use bergamotshift_core::prelude::*;

/// Maximum time after which a witness is renewed.
const MAX_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum time after which a witness is renewed; with a shorter one, connections would be opened all the time.
const MIN_INTERVAL: Duration = Duration::from_millis(40);

/// Time for which the end of an idle connection is remembered.
const MEMORY: Duration = Duration::from_mins(5);

/// Time after which witnesses of the endpoints of a service are renewed.
///
/// ```
/// use bergamotshift_core::prelude::*;
/// use bergamotshift_limit::ending::Renewal;
///
/// let mut renewal = Renewal::default();
/// let now = Instant::from_secs(1);
/// let before = renewal.interval(now);
/// renewal.record_idle_end(now);
/// assert!(renewal.interval(now) < before);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Renewal {
    /// The interval, and the time at which it was last too long.
    shortened: Option<(Duration, Instant)>,
}

impl Renewal {
    /// Returns the time after which a witness is renewed.
    pub fn interval(&self, now: Instant) -> Duration {
        match self.shortened {
            Some((interval, at)) if now.since(at) < MEMORY => interval,
            _ => MAX_INTERVAL,
        }
    }

    /// Records that an endpoint that lives on closed a witness before it was renewed.
    pub fn record_idle_end(&mut self, now: Instant) {
        let shorter = (self.interval(now) / 2).max(MIN_INTERVAL);
        self.shortened = Some((shorter, now));
    }
}
