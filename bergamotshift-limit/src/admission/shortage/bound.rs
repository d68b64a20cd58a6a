//! Longest wait that a request may add to before it makes others late.

use core::time::Duration;

/// Factor of the longest wait for each rank of urgency below the most urgent one, so that no kind of request is served
/// less often than a less urgent one.
const RANK_FACTOR: f64 = 0.85;

/// Longest wait of a request by the objectives of the routes that are at least as urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// The wait; `None` if no route is at least as urgent.
    wait: Option<Duration>,
}

impl Bound {
    /// Computes the bound of requests of an urgency, from the urgencies and objectives of the service's routes.
    pub fn of(routes: impl Iterator<Item = (u8, Duration)>, urgency: u8) -> Self {
        let mut shortest: Option<Duration> = None;
        // One bit for each urgency that is more urgent.
        let mut above = [0_u128; 2];
        for (other, objective) in routes.filter(|(other, _)| *other <= urgency) {
            shortest = Some(shortest.map_or(objective, |shortest| shortest.min(objective)));
            if other < urgency {
                above[usize::from(other / 128)] |= 1 << (other % 128);
            }
        }
        let rank: u32 = above.iter().map(|bits| bits.count_ones()).sum();
        Self {
            wait: shortest.map(|shortest| shortest.mul_f64(RANK_FACTOR.powi(rank as i32))),
        }
    }

    /// Returns the longest wait; `None` if no route is at least as urgent.
    pub const fn wait(self) -> Option<Duration> {
        self.wait
    }
}
