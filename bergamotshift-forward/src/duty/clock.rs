//! The time that a lease is judged by.

use core::fmt;
use std::rc::Rc;

use bergamotshift_core::prelude::*;

/// Tells the time; it is asked anew after each wait, as a process may have been paused.
#[derive(Clone)]
pub struct Clock(Rc<dyn Fn() -> Instant>);

impl Clock {
    /// Makes a clock.
    pub fn new(now: impl Fn() -> Instant + 'static) -> Self {
        Self(Rc::new(now))
    }

    /// Returns the time.
    pub fn now(&self) -> Instant {
        (self.0)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Clock").field(&self.now()).finish()
    }
}
