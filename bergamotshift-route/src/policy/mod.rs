//! Routing policies and their registration by name.

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
pub use least::LeastConnections;
pub use pair::PowerOfTwo;
pub use rotation::RoundRobin;
pub use target::Settings;
pub use target::Target;

/// Name of the default policy.
pub const DEFAULT: &str = "target-then-cost";

/// A strategy that chooses the endpoint for a request.
///
/// All threads of an entry share one policy. Choosing allocates nothing, takes no lock and reads no clock.
pub trait Policy: fmt::Debug + Send + Sync {
    /// Chooses an endpoint of the view.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when no endpoint is allowed to run the request, or when deferrable work should wait.
    fn choose(&self, view: &View, request: &Request<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal>;
}

/// The descriptor under which a policy is registered.
#[derive(Debug)]
pub struct Kind {
    /// Name that selects the policy in the settings.
    pub name: &'static str,
    /// Constructor of the policy with its default settings.
    pub build: fn() -> Box<dyn Policy>,
}

impl Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);

/// Builds the policy registered as `name`, or returns `None` when there is none.
pub fn build(name: &str) -> Option<Box<dyn Policy>> {
    plugin::find::<Kind>(name).map(|kind| (kind.build)())
}

/// Returns the names of all policies, sorted.
pub fn names() -> Vec<&'static str> {
    plugin::names::<Kind>()
}

/// Returns a random number below `bound`, or zero when `bound` is zero.
fn random_below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    ((u64::from(rng.next_u32()) * bound as u64) >> 32) as usize
}

/// Returns the first allowed endpoint of the service's pool, searching from position `start` and wrapping around once.
fn first_allowed(view: &View, request: &Request<'_>, start: usize) -> Option<u16> {
    let pool = view.pool(request.service);
    let (head, tail) = pool.split_at(start.min(pool.len()));
    tail.iter()
        .chain(head)
        .copied()
        .find(|&index| view.allows(index, request))
}

/// Returns the choice of an endpoint that is assumed to have none of the prompt cached.
fn choice(view: &View, request: &Request<'_>, index: u16) -> Choice {
    choice_with(
        view,
        index,
        &Forecast::of(view, &view.rows[usize::from(index)], request, 0.0),
    )
}

/// Returns the choice of an endpoint with its forecast.
fn choice_with(view: &View, index: u16, forecast: &Forecast) -> Choice {
    let index = usize::from(index);
    Choice {
        index,
        key: view.rows[index].key,
        estimate: forecast.estimate(),
    }
}
