//! Power of two choices: the less loaded of two random endpoints.

use bergamotshift_core::plugin;
use rand_pcg::Pcg64Mcg;

use super::Kind;
use super::Policy;
use crate::choice::Choice;
use crate::choice::Refusal;
use crate::estimate::Load;
use crate::request::Request;
use crate::view::View;

/// Samples two allowed endpoints and chooses the one with fewer sequences.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwo;

impl Policy for PowerOfTwo {
    fn choose(&self, view: &View, request: &Request<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        let size = view.pool(request.service).len();
        let mut draw =
            || super::first_allowed(view, request, super::random_below(rng, size)).ok_or(Refusal::NoEndpoint);
        let (left, right) = (draw()?, draw()?);
        let sequences = |index: u16| Load::of(view, &view.rows[usize::from(index)], request.now).sequences;
        let index = if sequences(right) < sequences(left) {
            right
        } else {
            left
        };
        Ok(super::choice(view, request, index))
    }
}

plugin::inventory::submit! {
    Kind { name: "power-of-two", build: || Box::new(PowerOfTwo) }
}
