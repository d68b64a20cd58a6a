//! Pushing on arrival, with stealing as a later correction.

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

use super::Balancer;
use super::Job;
use super::Kind;
use super::Theft;
use super::View;
use super::pull::Steal;
use super::push::Push;

plugin::inventory::submit! {
    Kind { name: "push-steal", build: || Box::new(Hybrid { push: Push::default(), steal: Steal }) }
}

#[derive(Debug)]
struct Hybrid {
    push: Push,
    steal: Steal,
}

impl Balancer for Hybrid {
    fn place(&mut self, now: Instant, origin: usize, job: &Job, zones: &[View]) -> usize {
        self.push.place(now, origin, job, zones)
    }

    fn steal(&mut self, thief: usize, zones: &[View]) -> Option<Theft> {
        self.steal.steal(thief, zones)
    }

    fn select(&self, waiting: &[Job], victim: usize, max_jobs: usize) -> Vec<usize> {
        self.steal.select(waiting, victim, max_jobs)
    }
}
