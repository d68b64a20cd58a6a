//! Adapters for the platform: table service, object store, VM list, cloud and weight store.
//!
//! Each service of the platform is a trait that uses the types of [`bergamotshift_core`], and an adapter implements it
//! over a protocol. The traits hide the protocols from their callers. Futures are not `Send`, so each thread creates
//! its own [`Platform`].

pub mod cloud;
pub mod error;
pub mod http;
pub mod kind;
pub mod objects;
pub mod prelude;
pub mod socket;
pub mod table;
pub mod unread;
pub mod vms;
pub mod weights;

use std::rc::Rc;

pub use error::Error;
pub use kind::Kind;
pub use kind::Settings;

/// Boxed future that is not `Send`.
pub type Future<'a, T> = futures_util::future::LocalBoxFuture<'a, T>;

/// Clients of the platform's services; a service without a configured address is `None`.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Transactional table service.
    pub table: Option<Rc<dyn table::Table>>,
    /// Object store.
    pub objects: Option<Rc<dyn objects::Objects>>,
    /// VM list and reclaim notices.
    pub vms: Option<Rc<dyn vms::Vms>>,
    /// Cloud API.
    pub cloud: Option<Rc<dyn cloud::Cloud>>,
    /// Weight store.
    pub weights: Option<Rc<dyn weights::Weights>>,
}
