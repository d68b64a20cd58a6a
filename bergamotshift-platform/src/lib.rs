//! Adapters for the platform: table service, object store, VM list, cloud and weight store.
//!
//! Each part of the platform is a trait in the words of [`bergamotshift_core`]; an adapter carries it over some
//! protocol. Nothing else of the project knows a protocol of the platform. Futures stay on the thread that made them:
//! each thread makes its own [`Platform`].

pub mod cloud;
pub mod error;
pub mod http;
pub mod kind;
pub mod objects;
pub mod prelude;
pub mod socket;
pub mod table;
pub mod vms;
pub mod weights;

use std::rc::Rc;

pub use error::Error;
pub use kind::Kind;
pub use kind::Settings;

/// A future that stays on its thread.
pub type Future<'a, T> = futures_util::future::LocalBoxFuture<'a, T>;

/// The parts of the platform that a process was given addresses of.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// The transactional table service.
    pub table: Option<Rc<dyn table::Table>>,
    /// The object store.
    pub objects: Option<Rc<dyn objects::Objects>>,
    /// The VM list and the notices.
    pub vms: Option<Rc<dyn vms::Vms>>,
    /// The cloud API.
    pub cloud: Option<Rc<dyn cloud::Cloud>>,
    /// The weight store.
    pub weights: Option<Rc<dyn weights::Weights>>,
}
