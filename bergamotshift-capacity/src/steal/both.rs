//! Pushing on arrival, and stealing to correct it.

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

use super::Balancer;
use super::Job;
use super::Kind;
use super::Theft;
use super::View;
use super::pull::Pull;
use super::push::Push;

plugin::inventory::submit! {
    Kind { name: "push-steal", build: || Box::new(Both { push: Push::default(), pull: Pull }) }
}

#[derive(Debug)]
struct Both {
    push: Push,
    pull: Pull,
}

impl Balancer for Both {
    fn place(&mut self, now: Instant, origin: usize, job: &Job, zones: &[View]) -> usize {
        self.push.place(now, origin, job, zones)
    }

    fn steal(&mut self, thief: usize, zones: &[View]) -> Option<Theft> {
        self.pull.steal(thief, zones)
    }

    fn select(&self, waiting: &[Job], victim: usize, most: usize) -> Vec<usize> {
        self.pull.select(waiting, victim, most)
    }
}
