//! The trait behind which each kind of endpoint stands, and the descriptor by which it registers itself.

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

/// Carries requests to one kind of endpoint, from one thread.
pub trait Adapter: Debug {
    /// Sends one attempt and returns once the answer's head has arrived.
    ///
    /// Dropping the future or the answer cancels the attempt: its connection is closed and never used again.
    ///
    /// # Errors
    ///
    /// Returns what went wrong and whether the endpoint can have run the request.
    fn send(&self, call: Call) -> LocalBoxFuture<'_, Result<Answer, Failure>>;

    /// Returns whether the endpoint proves by this answer that it refused the request before any work.
    fn is_refusal(&self, answer: &Answer) -> bool;

    /// Asks the endpoint how loaded it is.
    ///
    /// # Errors
    ///
    /// Returns what went wrong on the way.
    fn load<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Result<load::Report, Failure>>;

    /// Gives the endpoint an order.
    ///
    /// # Errors
    ///
    /// Returns why it had no effect; after a [`order::Error::Failed`] it may have had one.
    fn order<'a>(&'a self, target: &'a Target, order: Order) -> LocalBoxFuture<'a, Result<(), order::Error>>;

    /// Returns how a broken stream goes on where it stopped.
    ///
    /// `path` and `body` are those of the request as its caller sent it.
    fn resume(&self, path: &str, body: &Bytes, progress: &Progress) -> Resumption;
}

/// Describes a kind of adapter to the plug-in registry.
#[derive(Debug)]
pub struct Kind {
    /// The name by which a service's configuration asks for it.
    pub name: &'static str,
    /// Makes an adapter over a thread's connections.
    pub build: fn(Rc<Client>) -> Rc<dyn Adapter>,
}

impl Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);
