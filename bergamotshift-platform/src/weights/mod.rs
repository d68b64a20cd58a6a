//! The weight store, which limits how fast models are loaded.

use core::fmt::Debug;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Error;
use crate::Future;

/// A model's weights of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Spec {
    /// The model or adapter.
    pub model: name::Model,
    /// The version.
    pub version: SmolStr,
}

/// Leave to load weights, given out at the store's rate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// Where an endpoint fetches them.
    pub url: String,
    /// Their size in bytes.
    pub bytes: u64,
    /// How long the fetch takes at the store's rate, in milliseconds.
    pub estimate_ms: u64,
}

/// Gives leave to load weights.
pub trait Weights: Debug {
    /// Asks for leave to load weights.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Throttled`] with the time to wait when the store's rate is used up.
    fn fetch(&self, spec: Spec) -> Future<'_, Result<Ticket, Error>>;
}
