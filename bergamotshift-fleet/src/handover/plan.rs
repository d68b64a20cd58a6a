//! Plan of a leaving entry for its open requests.

use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::urgency::Urgency;

use super::KEEPERS_PER_PARCEL;
use super::Key;

/// Open request as the plan sees it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Key of the request.
    pub key: Key,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Time that the request still takes, as estimated by routing.
    pub remaining: Duration,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
    /// Size of the request's parcel in bytes.
    pub bytes: usize,
    /// Whether the platform stores the whole request, as it does for a deferred job; any entry resumes it without a
    /// parcel.
    pub is_durable: bool,
}

/// Time and bandwidth that are available for the handover.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Time until the VM is reclaimed.
    pub notice: Duration,
    /// Bandwidth of the link, in bytes per second.
    pub bytes_per_second: u64,
    /// Time kept free before the end, because notices are imprecise.
    pub reserve: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(5),
            bytes_per_second: 20_000_000,
            reserve: Duration::from_millis(500),
        }
    }
}

/// Handling of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The request completes on this entry in time.
    Finish,
    /// The parcel is sent to the keepers.
    HandOver,
    /// The request stays with the platform, which stores it.
    LeaveToPlatform,
    /// The parcel cannot be transferred within the notice; the caller is refused at once.
    Refuse,
}

/// Handling of all open requests, in the order in which it has to be done.
///
/// ```
/// use bergamotshift_fleet::handover::{Budget, Plan};
/// use bergamotshift_core::prelude::*;
///
/// let plan = Plan::new(Instant::ZERO, Vec::new(), Budget::default());
/// assert!(plan.steps().is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Plan {
    steps: Vec<(Key, Disposition)>,
}

impl Plan {
    /// Creates a plan that handles the most urgent requests first, and among equally urgent ones those with the least
    /// remaining time.
    ///
    /// A request is left to finish here only if it takes at most half of the usable time, since estimates may be off by
    /// that much. Requests past their deadlines are left out.
    pub fn new(now: Instant, mut open: Vec<Request>, budget: Budget) -> Self {
        let usable = budget.notice.saturating_sub(budget.reserve);
        open.sort_by(|left, right| {
            let priority = |request: &Request| (rank(request.urgency), request.remaining, request.deadline);
            priority(left)
                .cmp(&priority(right))
                .then_with(|| left.key.cmp(&right.key))
        });
        let mut spent = Duration::ZERO;
        let steps = open
            .into_iter()
            .filter(|request| request.deadline > now)
            .map(|request| {
                if request.is_durable {
                    return (request.key, Disposition::LeaveToPlatform);
                }
                if request.remaining <= usable / 2 {
                    return (request.key, Disposition::Finish);
                }
                let bytes = (request.bytes * KEEPERS_PER_PARCEL) as f64;
                let cost = Duration::from_secs_f64(bytes / budget.bytes_per_second.max(1) as f64);
                if spent + cost > usable {
                    return (request.key, Disposition::Refuse);
                }
                spent += cost;
                (request.key, Disposition::HandOver)
            });
        Self { steps: steps.collect() }
    }

    /// Returns the handling of each request, in order.
    pub fn steps(&self) -> &[(Key, Disposition)] {
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
