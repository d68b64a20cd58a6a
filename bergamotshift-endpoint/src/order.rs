//! Orders to endpoints, each with the fencing number of the duty that issues it.

use bergamotshift_core::name;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error as ThisError;

use crate::answer::Failure;

/// Header that carries the fencing number of an order.
pub const FENCING: &str = "x-bergamotshift-fencing";

/// Action that an endpoint is ordered to take.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Action {
    /// Start serving a model or a model adapter.
    Load {
        /// Name of the model.
        model: name::Model,
        /// Version of the model.
        version: SmolStr,
    },
    /// Stop serving a model or a model adapter.
    Unload {
        /// Name of the model.
        model: name::Model,
    },
    /// Take a role, such as `prefill` or `decode`.
    Role {
        /// Name of the role.
        role: SmolStr,
    },
    /// Finish the running requests, accept no new ones, and report the drain in the load report.
    Drain,
}

/// Idempotent order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Order {
    /// Action to take.
    #[serde(flatten)]
    pub action: Action,
    /// Fencing number of the lease under which the order is issued. Some endpoints check it, others ignore it.
    pub fencing: u64,
}

/// Reason why an order is not known to have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// The endpoint has seen a higher fencing number: another entry holds the duty now.
    #[error("the endpoint has accepted orders under a higher fencing number")]
    Stale,
    /// The endpoint refused the order with this HTTP status.
    #[error("the endpoint refused the order with status {0}")]
    Refused(u16),
    /// The exchange failed, so the endpoint may or may not have carried out the order.
    #[error(transparent)]
    Failed(#[from] Failure),
}
