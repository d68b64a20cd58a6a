//! Baseline balancer: every job runs in the zone where it arrived.

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

use super::Balancer;
use super::Job;
use super::Kind;
use super::Theft;
use super::View;

plugin::inventory::submit! {
    Kind { name: "local", build: || Box::new(Local) }
}

#[derive(Debug)]
struct Local;

impl Balancer for Local {
    fn place(&mut self, _: Instant, origin: usize, _: &Job, _: &[View]) -> usize {
        origin
    }

    fn steal(&mut self, _: usize, _: &[View]) -> Option<Theft> {
        None
    }

    fn select(&self, _: &[Job], _: usize, _: usize) -> Vec<usize> {
        Vec::new()
    }
}
