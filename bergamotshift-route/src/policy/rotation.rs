//! Round robin: each endpoint in turn, regardless of load.

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;

use bergamotshift_core::plugin;
use rand_pcg::Pcg64Mcg;

use super::Kind;
use super::Policy;
use crate::choice::Choice;
use crate::choice::Refusal;
use crate::request::Request;
use crate::view::View;

/// Chooses each allowed endpoint in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(&self, view: &View, request: &Request<'_>, _rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        let pool = view.pool(request.service);
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let start = turn % pool.len().max(1);
        let index = super::first_allowed(view, request, start).ok_or(Refusal::NoEndpoint)?;
        Ok(super::choice(view, request, index))
    }
}

plugin::inventory::submit! {
    Kind { name: "round-robin", build: || Box::new(RoundRobin::default()) }
}
