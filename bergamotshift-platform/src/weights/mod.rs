//! Weight store, which limits the rate at which model weights are loaded.

use core::fmt::Debug;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Error;
use crate::Future;

/// Version of the weights of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Spec {
    /// Name of the model or adapter.
    pub model: name::Model,
    /// Version of the weights.
    pub version: SmolStr,
}

/// Permission to load weights, issued at the rate limit of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// URL from which an endpoint loads the weights.
    pub url: String,
    /// Size of the weights, in bytes.
    pub bytes: u64,
    /// Estimated loading time at the rate of the store, in milliseconds.
    pub estimate_ms: u64,
}

/// Store that issues tickets to load weights.
pub trait Weights: Debug {
    /// Requests a ticket to load weights.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Throttled`] with the time to wait if the rate limit of the store is reached.
    fn fetch(&self, spec: Spec) -> Future<'_, Result<Ticket, Error>>;
}
