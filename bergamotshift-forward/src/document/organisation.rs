//! Organisations, their keys and their limits.

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The unit that a limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens of the prompt and of the longest possible output.
    Tokens {
        /// The number of tokens that a request without a size counts as.
        plain: u32,
    },
}

/// The rate limit of an organisation, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Limit {
    /// The rate, in units per second.
    pub rate: f64,
    /// The units that may be used at once beyond the rate.
    pub burst: f64,
    /// The unit.
    pub unit: Unit,
}

/// An organisation, whose callers authenticate with its keys.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: name::Organisation,
    /// The API keys of its callers.
    pub keys: Vec<SmolStr>,
    /// The priority of its requests, 0 first; it overrides the route's.
    pub urgency: Option<u8>,
    /// The rate limit; `None` for no limit.
    pub limit: Option<Limit>,
}
