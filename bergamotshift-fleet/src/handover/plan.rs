//! What a leaving entry does with each of its open requests.

use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::urgency::Urgency;

use super::KEEPERS;
use super::Key;

/// What a plan needs to know of an open request.
#[derive(Clone, Debug)]
pub struct Open {
    /// The request.
    pub key: Key,
    /// How soon its answer is needed.
    pub urgency: Urgency,
    /// What it still takes, by the estimate of routing.
    pub left: Duration,
    /// When its caller has no use for the answer any more.
    pub deadline: Instant,
    /// Bytes of its parcel.
    pub bytes: usize,
    /// Whether the platform holds all of it, as for a deferred job: any entry picks it up without a parcel.
    pub is_durable: bool,
}

/// What a leaving entry has to hand its requests over.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time until the VM is gone.
    pub notice: Duration,
    /// What the link carries, in bytes per second.
    pub bytes_per_second: u64,
    /// Time kept free at the end: notices are imprecise.
    pub reserve: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(5),
            bytes_per_second: 20_000_000,
            reserve: Duration::from_millis(500),
        }
    }
}

/// What becomes of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It ends here in time.
    Finish,
    /// Its parcel goes to the keepers.
    Hand,
    /// The platform holds it.
    Leave,
    /// Its parcel does not fit in the notice: its caller is told at once.
    Refuse,
}

/// What becomes of all requests, in the order in which it is to be done.
///
/// ```
/// use bergamotshift_fleet::handover::{Bounds, Plan};
/// use bergamotshift_core::prelude::*;
///
/// let plan = Plan::new(Instant::ZERO, Vec::new(), Bounds::default());
/// assert!(plan.steps().is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Plan {
    steps: Vec<(Key, Fate)>,
}

impl Plan {
    /// Makes a plan: urgent first, and of equally urgent ones what is nearly finished.
    ///
    /// Only what takes less than half of the usable time is left to finish here, since estimates are off by that much.
    pub fn new(now: Instant, mut open: Vec<Open>, bounds: Bounds) -> Self {
        let usable = bounds.notice.saturating_sub(bounds.reserve);
        open.sort_by(|left, right| {
            let order = |open: &Open| (rank(open.urgency), open.left, open.deadline);
            order(left).cmp(&order(right)).then_with(|| left.key.cmp(&right.key))
        });
        let mut spent = Duration::ZERO;
        let steps = open.into_iter().filter(|open| open.deadline > now).map(|open| {
            if open.is_durable {
                return (open.key, Fate::Leave);
            }
            if open.left <= usable / 2 {
                return (open.key, Fate::Finish);
            }
            let bytes = (open.bytes * KEEPERS) as f64;
            let cost = Duration::from_secs_f64(bytes / bounds.bytes_per_second.max(1) as f64);
            if spent + cost > usable {
                return (open.key, Fate::Refuse);
            }
            spent += cost;
            (open.key, Fate::Hand)
        });
        Self { steps: steps.collect() }
    }

    /// Returns what is done with each request, in order.
    pub fn steps(&self) -> &[(Key, Fate)] {
        &self.steps
    }
}

const fn rank(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Deferrable => 2,
    }
}
