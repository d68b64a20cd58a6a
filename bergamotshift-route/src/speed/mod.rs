//! Learned speeds of endpoints: how long an endpoint currently takes for a number of prompt tokens.
//!
//! The time to the first event is modelled as `overhead + tokens * token_time * pace`. The first two figures belong to a
//! service ([`Typical`]), the pace to one incarnation of an endpoint ([`Speed`]). All figures are atomics, so any thread
//! may update them and an estimate takes no lock. Threads that update the same figure at the same time may lose one of
//! the samples, which changes a running average little.
//!
//! ```
//! use core::time::Duration;
//!
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_route::speed;
//! use bergamotshift_route::speed::Speed;
//! use bergamotshift_route::speed::Typical;
//!
//! let typical = Typical::new(speed::Settings::default());
//! let speed = Speed::default();
//! let now = Instant::from_secs(1);
//! assert_eq!(speed::first_event(&typical, &speed, now, 1_000), Duration::from_millis(50));
//! assert!(speed.state_pace(now, 200.0), "the value is plausible");
//! assert_eq!(speed::first_event(&typical, &speed, now, 1_000), Duration::from_millis(70));
//! ```

mod figure;
mod incarnation;
mod typical;

use core::time::Duration;

use bergamotshift_core::prelude::*;

pub use self::incarnation::Speed;
pub use self::typical::Typical;

/// Parameters of learning.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time per prompt token before anything was learned, in milliseconds.
    pub token_time: f64,
    /// Time to the first event beside reading the prompt before anything was learned.
    pub overhead: Duration,
    /// Smallest number of tokens from which the reading speed is learned; the overhead dominates the time for fewer.
    pub min_tokens: u64,
    /// Largest share of a new sample in the figures of a service that has had many.
    pub typical_gain: f64,
    /// Largest share of a new sample in the correction of an incarnation that has had many.
    pub correction_gain: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            token_time: 1.0 / 50.0,
            overhead: Duration::from_millis(30),
            min_tokens: 512,
            typical_gain: 0.05,
            correction_gain: 0.2,
        }
    }
}

/// Measurement of one first event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Prompt tokens that had to be read before it, of the request itself and of those ahead of it.
    pub tokens: u64,
    /// Time from sending the request.
    pub elapsed: Duration,
    /// Pace that the answer stated, in percent of the usual time; `None` if it stated none.
    pub pace: Option<f64>,
}

/// Returns the expected time from sending a request to its first event, if `tokens` have to be read before it.
pub fn first_event(typical: &Typical, speed: &Speed, now: Instant, tokens: u64) -> Duration {
    let millis = typical.overhead() + tokens as f64 * typical.token_time() * speed.pace(now);
    Duration::from_secs_f64(millis / 1e3)
}

/// Returns a stated pace as a factor of the usual time, or `None` if it is not plausible.
fn plausible(percent: f64) -> Option<f64> {
    /// Largest plausible pace, in percent; slow phases of up to 300 were observed.
    const MAX_PERCENT: f64 = 10_000.0;
    (percent > 0.0 && percent <= MAX_PERCENT).then_some(percent / 100.0)
}
