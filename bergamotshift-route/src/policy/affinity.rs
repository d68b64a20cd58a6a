//! Prefix affinity: the endpoint that likely has most of the prompt cached, unless it is overloaded.

use bergamotshift_core::plugin;
use rand_pcg::Pcg64Mcg;

use super::Kind;
use super::Policy;
use crate::choice::Choice;
use crate::choice::Refusal;
use crate::estimate::Forecast;
use crate::request::Request;
use crate::view::View;

/// Chooses the endpoint with the longest cached prefix.
///
/// Without any hint, the hash of the first block selects the endpoint. When no endpoint with a hint can be used, or the
/// request has no prefix, a random endpoint is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Affinity;

/// Number of sequences per slot from which an endpoint gets no more requests for the sake of its cache.
const MAX_FILL: f32 = 1.25;

impl Policy for Affinity {
    fn choose(&self, view: &View, request: &Request<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        let matches = view.hints.lookup(request.prefix, request.now);
        for found in matches.iter() {
            let index = view.index_of(found.slot).filter(|&index| view.allows(index, request));
            let Some(index) = index else { continue };
            let cached = (found.blocks * request.block_tokens) as f32;
            let forecast = Forecast::of(view, &view.rows[usize::from(index)], request, cached);
            if forecast.load.sequences < MAX_FILL * forecast.load.slots {
                return Ok(super::choice_with(view, index, &forecast));
            }
        }
        let pool = view.pool(request.service);
        let start = match request.prefix.first() {
            Some(&block) if matches.iter().next().is_none() => block as usize % pool.len().max(1),
            _ => super::random_below(rng, pool.len()),
        };
        let index = super::first_allowed(view, request, start).ok_or(Refusal::NoEndpoint)?;
        Ok(super::choice(view, request, index))
    }
}

plugin::inventory::submit! {
    Kind { name: "prefix-affinity", build: || Box::new(Affinity) }
}
