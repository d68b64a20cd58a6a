//! Least connections: the endpoint believed to have the fewest requests.

use bergamotshift_core::plugin;
use rand_pcg::Pcg64Mcg;

use super::Kind;
use super::Policy;
use crate::choice::Choice;
use crate::choice::Refusal;
use crate::estimate::Load;
use crate::request::Request;
use crate::view::View;

/// Sends to the endpoint with the fewest sequences, by its report and what was sent since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Least;

impl Policy for Least {
    fn choose(&self, view: &View, request: &Request<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        let pool = view.pool(request.service);
        // A random start breaks ties, or all entries would fill the first endpoint of the pool.
        let (head, tail) = pool.split_at(super::below(rng, pool.len()));
        let place = tail
            .iter()
            .chain(head)
            .copied()
            .filter(|&place| view.allows(place, request))
            .min_by(|&left, &right| sequences(view, request, left).total_cmp(&sequences(view, request, right)))
            .ok_or(Refusal::NoEndpoint)?;
        Ok(super::choice(view, request, place))
    }
}

fn sequences(view: &View, request: &Request<'_>, place: u16) -> f32 {
    Load::of(view, &view.rows[usize::from(place)], request.now).sequences
}

plugin::inventory::submit! {
    Kind { name: "least-connections", build: || Box::new(Least) }
}
