//! Least connections: the endpoint with the fewest estimated requests.

use bergamotshift_core::plugin;
use rand_pcg::Pcg64Mcg;

use super::Kind;
use super::Policy;
use crate::choice::Choice;
use crate::choice::Refusal;
use crate::estimate::Load;
use crate::request::Request;
use crate::view::View;

/// Chooses the endpoint with the fewest sequences, estimated from its last report and the requests sent since.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastConnections;

impl Policy for LeastConnections {
    fn choose(&self, view: &View, request: &Request<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        let pool = view.pool(request.service);
        // A random start breaks ties; otherwise all entries would fill the first endpoint of the pool.
        let (head, tail) = pool.split_at(super::random_below(rng, pool.len()));
        let index = tail
            .iter()
            .chain(head)
            .copied()
            .filter(|&index| view.allows(index, request))
            .min_by(|&left, &right| sequences(view, request, left).total_cmp(&sequences(view, request, right)))
            .ok_or(Refusal::NoEndpoint)?;
        Ok(super::choice(view, request, index))
    }
}

fn sequences(view: &View, request: &Request<'_>, index: u16) -> f32 {
    Load::of(view, &view.rows[usize::from(index)], request.now).sequences
}

plugin::inventory::submit! {
    Kind { name: "least-connections", build: || Box::new(LeastConnections) }
}
