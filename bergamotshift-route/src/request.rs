//! Routing-relevant description of a request.

use bergamotshift_core::prelude::*;
use core::time::Duration;

use crate::set::Set;
use crate::view::Service;

/// A request to be routed: its constraints, latency targets and size.
///
/// Hashes of the prompt's blocks are cumulative: the hash of block *i* covers blocks 0 to *i*, so that equal hashes
/// mean equal prefixes.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Time of the decision.
    pub now: Instant,
    /// Service that the request is for.
    pub service: Service,
    /// Availability zones in which the rules of the service and of the organisation allow the request to run.
    pub zones: Set,
    /// Machine classes on which the rules allow the request to run.
    pub classes: Set,
    /// Models and adapters that the endpoint must have loaded.
    pub models: Set,
    /// Urgency of the answer.
    pub urgency: Urgency,
    /// Target for the time to the first token, or to the whole answer of a plain service.
    pub first_token: Duration,
    /// Target for the time between tokens.
    pub between_tokens: Duration,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Estimated number of tokens in the answer.
    pub answer_tokens: u32,
    /// Cumulative hashes of the prompt's blocks.
    pub prefix: &'a [u64],
    /// Number of tokens per block of `prefix`.
    pub block_tokens: u32,
    /// Endpoints that must not be chosen, such as those that already failed this request or run another suspected one.
    pub exclude: &'a [key::Endpoint],
}

impl Default for Request<'_> {
    fn default() -> Self {
        Self {
            now: Instant::ZERO,
            service: Service::default(),
            zones: Set::ALL,
            classes: Set::ALL,
            models: Set::EMPTY,
            urgency: Urgency::Normal,
            first_token: Duration::from_secs(2),
            between_tokens: Duration::from_millis(77),
            deadline: Instant::MAX,
            prompt_tokens: 0,
            answer_tokens: 256,
            prefix: &[],
            block_tokens: 256,
            exclude: &[],
        }
    }
}
