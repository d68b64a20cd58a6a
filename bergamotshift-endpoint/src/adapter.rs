//! Trait of the adapters for each kind of endpoint, and the descriptor with which an adapter registers itself.

use core::fmt::Debug;
use std::rc::Rc;

use bergamotshift_core::load;
use bergamotshift_core::plugin;
use bergamotshift_core::plugin::Named;
use futures_util::future::LocalBoxFuture;
use ntex::util::Bytes;

use crate::answer::Answer;
use crate::answer::Failure;
use crate::call::Call;
use crate::call::Target;
use crate::client::Client;
use crate::engine::progress::Progress;
use crate::engine::resume::Resumption;
use crate::order;
use crate::order::Order;

/// Sends requests to one kind of endpoint, from one thread.
pub trait Adapter: Debug {
    /// Sends one attempt and returns when the head of the answer has arrived.
    ///
    /// Dropping the future or the answer cancels the attempt: its connection is closed and not reused.
    ///
    /// # Errors
    ///
    /// Returns the failure; [`Failure::outcome`] tells whether the endpoint may have run the request.
    fn send(&self, call: Call) -> LocalBoxFuture<'_, Result<Answer, Failure>>;

    /// Returns whether an answer proves that the endpoint refused the request before any work.
    fn is_refusal(&self, answer: &Answer) -> bool;

    /// Fetches the load report of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the failure of the exchange.
    fn load<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Result<load::Report, Failure>>;

    /// Sends an order to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error when the order is not known to have taken effect. After [`order::Error::Failed`] it may have.
    fn order<'a>(&'a self, target: &'a Target, order: Order) -> LocalBoxFuture<'a, Result<(), order::Error>>;

    /// Returns the continuation of a broken stream.
    ///
    /// `path` and `body` are those of the original request of the caller.
    fn resume(&self, path: &str, body: &Bytes, progress: &Progress) -> Resumption;
}

/// Descriptor of a kind of adapter in the plug-in registry.
#[derive(Debug)]
pub struct Kind {
    /// Name of the adapter in a service's configuration.
    pub name: &'static str,
    /// Function that creates an adapter on a thread's connections.
    pub build: fn(Rc<Client>) -> Rc<dyn Adapter>,
}

impl Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);
