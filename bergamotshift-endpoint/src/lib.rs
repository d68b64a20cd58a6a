//! Adapters for endpoints: how one attempt of a request is carried to a model engine or a plain service.
//!
//! An adapter lives on one thread and owns that thread's connections. It sends a [`call::Call`], checks that the
//! answer carries the attempt's identifier and hands back an [`answer::Answer`] or a [`answer::Failure`] that says
//! whether the endpoint can have run the request. Adapters register themselves as plug-ins; a service's
//! configuration names the one it needs.
//!
//! ```
//! use bergamotshift_core::plugin;
//! use bergamotshift_endpoint::adapter::Kind;
//!
//! assert_eq!(plugin::names::<Kind>(), ["engine", "http"]);
//! ```

pub mod adapter;
pub mod answer;
pub mod call;
pub mod client;
pub mod engine;
pub mod header;
pub mod order;
pub mod plain;
pub mod prelude;
