//! Organisations, their keys and their limits.

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What a limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens of the prompt and of the longest output; a request without a size counts as this many.
    Tokens {
        /// What a request without a size counts.
        plain: u32,
    },
}

/// What an organisation may use, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Units beyond that at once.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: name::Organisation,
    /// The keys that its callers show.
    pub keys: Vec<SmolStr>,
    /// Its rank, which goes before a route's.
    pub urgency: Option<u8>,
    /// What it may use; `None` has no bound.
    pub limit: Option<Limit>,
}
