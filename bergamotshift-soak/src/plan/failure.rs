//! Endpoints that run requests and fail them.

use core::time::Duration;

use super::CALM;
use super::Draw;
use super::Plan;
use super::Size;
use super::Step;
use crate::endpoint::Habit;

/// Mean time between two such spells, in milliseconds.
const GAP_MS: u64 = 1_500;

/// Longest time that one lasts, in milliseconds.
const SPAN_MS: u64 = 1_200;

impl Plan {
    /// Returns the plan with endpoints that fail requests which they have run.
    #[must_use]
    pub fn with_failures(mut self, seed: u64, size: Size) -> Self {
        // Another number than those of the steps before.
        let mut draw = Draw::new(seed, size, 12);
        let mut at = CALM + Duration::from_millis(draw.below(2 * GAP_MS));
        while at < size.span {
            let place = draw.endpoint();
            let habit = Habit::FAILING[draw.below(Habit::FAILING.len() as u64) as usize];
            draw.push(at, Step::Habit(place, habit));
            at += Duration::from_millis(draw.below(SPAN_MS));
            draw.push(at, Step::Habit(place, Habit::Sound));
            at += Duration::from_millis(draw.below(2 * GAP_MS));
        }
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }
}
