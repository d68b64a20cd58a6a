//! Results of a routing decision.

use bergamotshift_core::key;
use bergamotshift_core::prelude::Instant;
use thiserror::Error;

use crate::estimate::Estimate;

/// The endpoint that a policy chose for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the endpoint among the rows of the view that the choice was made on.
    pub index: usize,
    /// Key of the endpoint, valid across views.
    pub key: key::Endpoint,
    /// Expected latency and cost of the request at this endpoint.
    pub estimate: Estimate,
}

/// The reason why no endpoint was chosen. No byte of the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Refusal {
    /// No live endpoint is allowed to run the request.
    #[error("no live endpoint is allowed to run the request")]
    NoEndpoint,
    /// No endpoint has spare capacity for deferrable work; the caller should retry no later than at `until`.
    #[error("no spare capacity for deferrable work; retry by {until}")]
    Deferred {
        /// Latest time for the next attempt.
        until: Instant,
    },
}
