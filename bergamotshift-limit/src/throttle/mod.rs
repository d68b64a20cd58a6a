//! Rates that servers name for themselves.
//!
//! A server in need names the requests a second that it takes from all clients together. [`Word`] is what is known of
//! that, and [`Throttle`] keeps the newest word of one server.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::throttle::{Throttle, Word};
//!
//! let throttle = Throttle::default();
//! assert!(throttle.hear(Word::named(2.0, Instant::from_secs(5)), true));
//! assert_eq!(throttle.rate(), Some(2.0));
//! assert!(throttle.hear(Word::lifted(Instant::from_secs(6)), true));
//! assert_eq!(throttle.rate(), None);
//! ```

mod word;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

pub use self::word::Word;

/// The newest word, and how it came here.
#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    word: Word,
    is_first_hand: bool,
}

/// Keeps the newest word of one server. Threads hold its lock for the time of a copy.
#[derive(Debug, Default)]
pub struct Throttle {
    heard: Mutex<Heard>,
}

impl Throttle {
    /// Takes in a word, and returns whether it changes the rate; `is_first_hand` says that the server itself gave it to
    /// this client.
    pub fn hear(&self, word: Word, is_first_hand: bool) -> bool {
        let mut heard = self.heard();
        let before = heard.word;
        if !word.replaces(before) {
            return false;
        }
        *heard = Heard { word, is_first_hand };
        word.rate != before.rate
    }

    /// Returns the rate that the server names, in requests per second; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.heard().word.rate
    }

    /// Returns the newest word if the server itself gave it to this client, for clients that do not know it.
    ///
    /// Only that is passed on: words that go round among clients would look newer with each step.
    pub fn first_hand(&self) -> Option<Word> {
        let heard = *self.heard();
        heard.is_first_hand.then_some(heard.word)
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
