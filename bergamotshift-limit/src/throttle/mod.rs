//! Rates that servers name for themselves, kept as one budget over all clients.
//!
//! A server in need names the requests a second that it takes from all clients together. [`Word`] is what is known of
//! that. Each client has a [`Throttle`] for each server, which keeps the newest word. One of the clients grants requests to
//! the server from its throttle, and the others ask that one.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::throttle::{Throttle, Word};
//!
//! let throttle = Throttle::default();
//! let now = Instant::from_secs(5);
//! assert!(throttle.hear(Word::named(2.0, now), true));
//! assert!(throttle.grant(now, 1).is_ok());
//! let wait = throttle.grant(now, 1).expect_err("half a second has to pass");
//! assert!(throttle.grant(now + wait, 1).is_ok());
//! assert!(throttle.hear(Word::lifted(Instant::from_secs(6)), true));
//! assert_eq!(throttle.rate(), None);
//! ```

mod word;

use core::time::Duration;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::clock::Until;
use bergamotshift_core::prelude::*;

pub use self::word::Word;
use crate::bucket::Bucket;

/// What one request counts that a client grants in the place of the first one, which it does not reach: both may grant at
/// the same time.
pub const SECOND: u64 = 3;

/// The rate that is kept where a server takes none at all, in requests per second: only an answer tells that a limit has
/// ended.
const LEAST: f64 = 0.1;

/// The requests that come at once without waiting for one another are those of this time at the rate, and one at the least.
const BURST: Duration = Duration::from_millis(100);

/// The newest word, and how it came here.
#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    word: Word,
    is_first_hand: bool,
}

/// One server's rate, as one client knows and keeps it. Threads hold its lock for the time of a copy.
#[derive(Debug)]
pub struct Throttle {
    heard: Mutex<Heard>,
    /// What this client grants to all of them.
    bucket: Bucket,
    /// Until when this client sends nothing.
    closed: Until,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            heard: Mutex::default(),
            bucket: Bucket::new(1.0, 1.0),
            closed: Until::default(),
        }
    }
}

impl Throttle {
    /// Takes in a word, and returns whether it changes the rate; `is_first_hand` says that the server itself gave it to
    /// this client.
    pub fn hear(&self, word: Word, is_first_hand: bool) -> bool {
        let mut heard = self.heard();
        let before = heard.word;
        let is_news = word.rate.is_some() || before.rate.is_some();
        if !is_news || !word.replaces(before) {
            return false;
        }
        *heard = Heard { word, is_first_hand };
        if word.rate == before.rate {
            return false;
        }
        match word.rate {
            Some(rate) => {
                let rate = if rate > 0.0 { rate } else { LEAST };
                let burst = (rate * BURST.as_secs_f64()).max(1.0);
                self.bucket.set_rate(word.at, rate, burst);
            }
            None => self.closed.set(Instant::ZERO),
        }
        true
    }

    /// Returns the rate that the server names, in requests per second; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.word().rate
    }

    /// Returns the newest word.
    pub fn word(&self) -> Word {
        self.heard().word
    }

    /// Returns the newest word if the server itself gave it to this client, for clients that do not know it.
    ///
    /// Only that is passed on: words that go round among clients would look newer with each step.
    pub fn first_hand(&self) -> Option<Word> {
        let heard = *self.heard();
        heard.is_first_hand.then_some(heard.word)
    }

    /// Grants one request, which counts as `cost` of them.
    ///
    /// # Errors
    ///
    /// Returns how long it takes until one can be granted.
    pub fn grant(&self, now: Instant, cost: u64) -> Result<(), Duration> {
        if self.rate().is_none() {
            return Ok(());
        }
        self.bucket.try_take(now, cost)
    }

    /// Has this client send nothing until `until`, unless the limit ends before.
    pub fn close(&self, until: Instant) {
        self.closed.extend(until);
    }

    /// Returns until when this client sends nothing; `None` when it may ask.
    pub fn closed_until(&self, now: Instant) -> Option<Instant> {
        self.closed.after(now)
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
