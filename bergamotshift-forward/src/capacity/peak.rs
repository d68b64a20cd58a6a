//! The most of a figure over a sliding window.

use core::time::Duration;
use std::collections::VecDeque;

use bergamotshift_core::prelude::*;

/// Remembers the most of a figure over a sliding window.
#[derive(Debug, Default)]
pub(super) struct Peak {
    /// Figures that nothing later exceeds, in falling order.
    falling: VecDeque<(Instant, u32)>,
}

impl Peak {
    /// Makes one that remembers nothing.
    pub(super) const fn new() -> Self {
        Self {
            falling: VecDeque::new(),
        }
    }

    /// Returns whether nothing was noted.
    pub(super) fn is_empty(&self) -> bool {
        self.falling.is_empty()
    }

    /// Notes a figure, and returns the most that was noted less than `window` ago.
    pub(super) fn note(&mut self, now: Instant, window: Duration, figure: u32) -> u32 {
        while self.falling.pop_back_if(|(_, before)| *before <= figure).is_some() {}
        self.falling.push_back((now, figure));
        while self.falling.pop_front_if(|(at, _)| now.since(*at) >= window).is_some() {}
        self.falling.front().map_or(figure, |(_, most)| *most)
    }
}
