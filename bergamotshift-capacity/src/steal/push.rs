//! Pushing: a job is placed in the zone where it is expected to complete first.

use std::collections::VecDeque;

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

use super::Balancer;
use super::Job;
use super::Kind;
use super::Theft;
use super::View;

plugin::inventory::submit! {
    Kind { name: "push", build: || Box::new(Push::default()) }
}

/// Places each job based on the zones' last known states and the placements made since.
#[derive(Debug, Default)]
pub(super) struct Push {
    placements: VecDeque<Placement>,
}

#[derive(Clone, Copy, Debug)]
struct Placement {
    at: Instant,
    zone: usize,
    work: f64,
}

impl Push {
    /// Drops placements that are already included in the state of every zone.
    fn prune(&mut self, zones: &[View]) {
        let oldest = zones.iter().map(|zone| zone.as_of).min().unwrap_or_default();
        while self.placements.front().is_some_and(|placement| placement.at < oldest) {
            self.placements.pop_front();
        }
    }

    /// Returns the work placed in a zone that its state does not include yet.
    fn unreported_work(&self, zone: usize, view: &View) -> f64 {
        let unreported = |placement: &&Placement| placement.zone == zone && placement.at >= view.as_of;
        self.placements
            .iter()
            .filter(unreported)
            .map(|placement| placement.work)
            .sum()
    }
}

impl Balancer for Push {
    fn place(&mut self, now: Instant, origin: usize, job: &Job, zones: &[View]) -> usize {
        self.prune(zones);
        let completion = |zone: &usize| {
            let view = &zones[*zone];
            let worked_off = now.since(view.as_of).as_secs_f64() * view.rate;
            let ahead = view.waiting + view.running + self.unreported_work(*zone, view) - worked_off;
            // Running and waiting jobs are processed first; then the job itself takes one second per unit of work.
            view.seconds_for(ahead) + job.work_in(*zone)
        };
        let zone = (0..zones.len()).min_by(|left, right| completion(left).total_cmp(&completion(right)));
        let zone = zone.unwrap_or(origin);
        let work = job.work_in(zone);
        self.placements.push_back(Placement { at: now, zone, work });
        zone
    }

    fn steal(&mut self, _: usize, _: &[View]) -> Option<Theft> {
        None
    }

    fn select(&self, _: &[Job], _: usize, _: usize) -> Vec<usize> {
        Vec::new()
    }
}
