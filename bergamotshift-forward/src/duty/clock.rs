//! Clock by which a lease is checked.

use core::fmt;
use std::rc::Rc;

use bergamotshift_core::prelude::*;

/// Clock of a lease; it is read again after each wait, as the process may have been paused.
#[derive(Clone)]
pub struct Clock(Rc<dyn Fn() -> Instant>);

impl Clock {
    /// Creates a clock that reads the time from a function.
    pub fn new(now: impl Fn() -> Instant + 'static) -> Self {
        Self(Rc::new(now))
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        (self.0)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Clock").field(&self.now()).finish()
    }
}
