//! Adapters that send single attempts of requests to endpoints: model engines and plain services.
//!
//! An adapter belongs to one thread and shares that thread's connections. It sends a [`call::Call`], checks the
//! attempt's identifier in the answer, and returns an [`answer::Answer`], or an [`answer::Failure`] that tells whether
//! the endpoint may have run the request. Adapters register themselves as plug-ins, and a service's configuration
//! selects one by name.
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
