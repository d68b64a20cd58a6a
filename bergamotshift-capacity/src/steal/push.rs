//! Pushing: a job goes where it is expected to be done first.

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

/// Places each job by the zones' last figures and its own placements since those were read.
#[derive(Debug, Default)]
pub(super) struct Push {
    sent: VecDeque<Sent>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Instant,
    zone: usize,
    work: f64,
}

impl Push {
    /// Forgets placements that every zone's figure already holds.
    fn forget(&mut self, zones: &[View]) {
        let oldest = zones.iter().map(|zone| zone.at).min().unwrap_or_default();
        while self.sent.front().is_some_and(|sent| sent.at < oldest) {
            self.sent.pop_front();
        }
    }

    fn since(&self, zone: usize, view: &View) -> f64 {
        let unseen = |sent: &&Sent| sent.zone == zone && sent.at >= view.at;
        self.sent.iter().filter(unseen).map(|sent| sent.work).sum()
    }
}

impl Balancer for Push {
    fn place(&mut self, now: Instant, origin: usize, job: &Job, zones: &[View]) -> usize {
        self.forget(zones);
        let done = |zone: &usize| {
            let view = &zones[*zone];
            let worked_off = now.since(view.at).as_secs_f64() * view.rate;
            let ahead = view.waiting + view.running + self.since(*zone, view) - worked_off;
            // What runs is worked off in turn with what waits; the job itself then takes its time.
            view.span(ahead) + job.work_in(*zone)
        };
        let zone = (0..zones.len()).min_by(|left, right| done(left).total_cmp(&done(right)));
        let zone = zone.unwrap_or(origin);
        let work = job.work_in(zone);
        self.sent.push_back(Sent { at: now, zone, work });
        zone
    }

    fn steal(&mut self, _: usize, _: &[View]) -> Option<Theft> {
        None
    }

    fn select(&self, _: &[Job], _: usize, _: usize) -> Vec<usize> {
        Vec::new()
    }
}
