//! Orders to endpoints, under the fencing number of the duty that gives them.

use bergamotshift_core::name;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error as ThisError;

use crate::answer::Failure;

/// Carries the fencing number where an order has no body.
pub const FENCING: &str = "x-bergamotshift-fencing";

/// What an endpoint is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Action {
    /// It serves a model or adapter.
    Load {
        /// Its name.
        model: name::Model,
        /// Its version.
        version: SmolStr,
    },
    /// It serves a model or adapter no longer.
    Unload {
        /// Its name.
        model: name::Model,
    },
    /// It takes a role, such as `prefill` or `decode`.
    Role {
        /// The role's name.
        role: SmolStr,
    },
    /// It finishes what it runs, takes nothing new, and says so in its load report.
    Drain,
}

/// One order; carrying it out twice does no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Order {
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
    /// The number of the lease under which it is given; some endpoints check it, others ignore it.
    pub fencing: u64,
}

/// An order had no effect, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// The endpoint has seen a higher fencing number: somebody else has the duty now.
    #[error("the endpoint has taken orders under a higher fencing number")]
    Stale,
    /// The endpoint refused it.
    #[error("the endpoint refused the order with status {0}")]
    Refused(u16),
    /// It did not come back from the endpoint whether it had one.
    #[error(transparent)]
    Failed(#[from] Failure),
}
