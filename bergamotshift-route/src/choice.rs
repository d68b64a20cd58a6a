//! What a policy decides.

use bergamotshift_core::key;
use bergamotshift_core::prelude::Instant;
use thiserror::Error;

use crate::estimate::Estimate;

/// The endpoint that runs the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint's place in the view that was asked.
    pub index: usize,
    /// The endpoint's key, valid across views.
    pub key: key::Endpoint,
    /// What the decision expects.
    pub estimate: Estimate,
}

/// Why no endpoint was chosen. No byte of the request has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Refusal {
    /// No endpoint is live that the rules allow.
    #[error("no endpoint is live that may run the request")]
    NoEndpoint,
    /// Deferrable work finds no cheap room yet; it should ask again at this moment at the latest.
    #[error("no cheap room until {until}")]
    Deferred {
        /// When to ask again.
        until: Instant,
    },
}
