//! Maximum over a sliding window.

use core::time::Duration;
use std::collections::VecDeque;

use bergamotshift_core::prelude::*;

/// Maximum of a value over a sliding window.
#[derive(Debug, Default)]
pub(super) struct Peak {
    /// Values that no later value reaches, in falling order.
    falling: VecDeque<(Instant, u32)>,
}

impl Peak {
    /// Creates a maximum without any values.
    pub(super) const fn new() -> Self {
        Self {
            falling: VecDeque::new(),
        }
    }

    /// Returns whether no value was recorded.
    pub(super) fn is_empty(&self) -> bool {
        self.falling.is_empty()
    }

    /// Records a value, and returns the largest one of those recorded less than `window` ago.
    pub(super) fn record(&mut self, now: Instant, window: Duration, value: u32) -> u32 {
        while self.falling.pop_back_if(|(_, before)| *before <= value).is_some() {}
        self.falling.push_back((now, value));
        while self.falling.pop_front_if(|(at, _)| now.since(*at) >= window).is_some() {}
        self.falling.front().map_or(value, |(_, largest)| *largest)
    }
}
