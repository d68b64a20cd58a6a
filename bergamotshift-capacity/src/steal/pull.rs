//! Work stealing: a zone with free slots takes waiting jobs from the zone with the longest wait.
//!
//! Follows Arafat et al., "Work stealing for GPU-accelerated parallel programs in a global address space framework"
//! (2015): a queue is ordered by how well its jobs suit the victim, and a thief takes those that suit it least. In the
//! paper the order is between tasks that run better on a CPU or on a GPU; here it is between jobs whose prompts the
//! victim has cached and jobs that lose nothing by moving.

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

use super::Balancer;
use super::Job;
use super::Kind;
use super::Theft;
use super::View;

plugin::inventory::submit! {
    Kind { name: super::DEFAULT, build: || Box::new(Steal) }
}

/// Minimum wait of a victim for a theft to be worthwhile, in seconds.
const MIN_WAIT: f64 = 1.0;

/// Lets a thief take as many jobs as it has free slots, but at most half of the victim's waiting jobs, so that the
/// victim keeps those that it will soon start itself.
#[derive(Debug)]
pub(super) struct Steal;

impl Balancer for Steal {
    fn place(&mut self, _: Instant, origin: usize, _: &Job, _: &[View]) -> usize {
        origin
    }

    fn steal(&mut self, thief: usize, zones: &[View]) -> Option<Theft> {
        let max_jobs = zones[thief].free_slots.floor() as usize;
        let others = (0..zones.len()).filter(|zone| *zone != thief);
        let victim =
            others.max_by(|left, right| zones[*left].wait_seconds().total_cmp(&zones[*right].wait_seconds()))?;
        (max_jobs > 0 && zones[victim].wait_seconds() > MIN_WAIT).then_some(Theft { victim, max_jobs })
    }

    /// Selects the jobs that lose the least cached work by moving, up to half of those waiting.
    fn select(&self, waiting: &[Job], victim: usize, max_jobs: usize) -> Vec<usize> {
        let loss = |index: &usize| {
            let job = &waiting[*index];
            if job.home == victim {
                job.cached_work / job.work
            } else {
                0.0
            }
        };
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        order.sort_by(|left, right| loss(left).total_cmp(&loss(right)).then(right.cmp(left)));
        order.truncate(max_jobs.min(waiting.len().div_ceil(2)));
        order.sort_unstable_by(|left, right| right.cmp(left));
        order
    }
}
