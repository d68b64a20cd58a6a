//! Prefix affinity alone: the endpoint that should hold most of the prompt, as long as it is not full.

use bergamotshift_core::plugin;
use rand_pcg::Pcg64Mcg;

use super::Kind;
use super::Policy;
use crate::choice::Choice;
use crate::choice::Refusal;
use crate::estimate::Forecast;
use crate::request::Request;
use crate::view::View;

/// Sends to the longest cached prefix, or else to the prefix's home.
#[derive(Clone, Copy, Debug, Default)]
pub struct Affinity;

/// An endpoint with this share of its slots taken gets no more work for its cache's sake.
const FULL: f32 = 1.25;

impl Policy for Affinity {
    fn choose(&self, view: &View, request: &Request<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        let matches = view.hints.lookup(request.prefix, request.now);
        for found in matches.iter() {
            let place = view.place_of(found.slot).filter(|&place| view.allows(place, request));
            let Some(place) = place else { continue };
            let cached = (found.blocks * request.block_tokens) as f32;
            let forecast = Forecast::of(view, &view.rows[usize::from(place)], request, cached);
            if forecast.load.sequences < FULL * forecast.load.slots {
                return Ok(super::choice_with(view, place, &forecast));
            }
        }
        let pool = view.pool(request.service);
        let start = match request.prefix.first() {
            Some(&block) if matches.iter().next().is_none() => block as usize % pool.len().max(1),
            _ => super::below(rng, pool.len()),
        };
        let place = super::first_allowed(view, request, start).ok_or(Refusal::NoEndpoint)?;
        Ok(super::choice(view, request, place))
    }
}

plugin::inventory::submit! {
    Kind { name: "prefix-affinity", build: || Box::new(Affinity) }
}
