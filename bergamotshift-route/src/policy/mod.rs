//! Routing policies, which register themselves by name.

use core::fmt;

use bergamotshift_core::plugin;
use bergamotshift_core::plugin::Named;
use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

use crate::choice::Choice;
use crate::choice::Refusal;
use crate::estimate::Forecast;
use crate::request::Request;
use crate::view::View;

mod affinity;
mod least;
mod pair;
mod rotation;
mod target;

pub use affinity::Affinity;
pub use least::Least;
pub use pair::Pair;
pub use rotation::Rotation;
pub use target::Settings;
pub use target::Target;

/// The policy that entries use unless told otherwise.
pub const DEFAULT: &str = "target-then-cost";

/// Chooses the endpoint for a request.
///
/// One policy serves all threads of an entry. A choice allocates nothing, takes no lock and reads no clock.
pub trait Policy: fmt::Debug + Send + Sync {
    /// Chooses an endpoint in the view.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when no endpoint may run the request, or deferrable work should wait.
    fn choose(&self, view: &View, request: &Request<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal>;
}

/// A policy's descriptor.
#[derive(Debug)]
pub struct Kind {
    /// The name by which settings choose it.
    pub name: &'static str,
    /// Makes the policy with its default settings.
    pub build: fn() -> Box<dyn Policy>,
}

impl Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);

/// Makes the policy of this name, or nothing when none registered under it.
pub fn build(name: &str) -> Option<Box<dyn Policy>> {
    plugin::find::<Kind>(name).map(|kind| (kind.build)())
}

/// Returns the names of all policies, sorted.
pub fn names() -> Vec<&'static str> {
    plugin::names::<Kind>()
}

/// Returns a number below `bound`, or zero when `bound` is zero.
fn below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    ((u64::from(rng.next_u32()) * bound as u64) >> 32) as usize
}

/// Returns the first allowed place of the pool from position `start` on, going round once.
fn first_allowed(view: &View, request: &Request<'_>, start: usize) -> Option<u16> {
    let pool = view.pool(request.service);
    let (head, tail) = pool.split_at(start.min(pool.len()));
    tail.iter()
        .chain(head)
        .copied()
        .find(|&place| view.allows(place, request))
}

/// Returns the choice of a place for which nothing is known to be cached.
fn choice(view: &View, request: &Request<'_>, place: u16) -> Choice {
    choice_with(
        view,
        place,
        &Forecast::of(view, &view.rows[usize::from(place)], request, 0.0),
    )
}

fn choice_with(view: &View, place: u16, forecast: &Forecast) -> Choice {
    let index = usize::from(place);
    Choice {
        index,
        key: view.rows[index].key,
        estimate: forecast.estimate(),
    }
}
