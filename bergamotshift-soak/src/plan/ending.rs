//! Draws of endpoints whose processes end within their answers: after a notice, or to start again on their address at once.

use core::time::Duration;

use super::CALM;
use super::Draw;
use super::Plan;
use super::Size;
use super::Step;

/// Mean time between two ends, in milliseconds.
const GAP_MS: u64 = 900;

impl Plan {
    /// Draws endpoints that end or start again, and adds them; the other steps stay as they are.
    #[must_use]
    pub fn with_ends(mut self, seed: u64, size: Size) -> Self {
        // Another number than those of the steps before.
        let mut draw = Draw::new(seed, size, 8);
        let mut at = CALM + Duration::from_millis(draw.below(2 * GAP_MS));
        while at < size.span {
            let place = draw.endpoint();
            let step = if draw.below(3) == 0 {
                Step::Leave(place)
            } else {
                Step::Restart(place)
            };
            draw.push(at, step);
            at += Duration::from_millis(draw.below(2 * GAP_MS));
        }
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }
}
