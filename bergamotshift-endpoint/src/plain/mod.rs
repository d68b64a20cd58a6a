//! Adapter for plain HTTP services, without support for engine streams.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::load;
use bergamotshift_core::plugin;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ntex::util::Bytes;

use crate::adapter::Adapter;
use crate::adapter::Kind;
use crate::answer::Answer;
use crate::answer::Failure;
use crate::call::Call;
use crate::call::Target;
use crate::client::Client;
use crate::engine::progress::Progress;
use crate::engine::resume::Resumption;
use crate::header;
use crate::order;
use crate::order::Order;

/// Path of a plain service's load report.
const LOAD_PATH: &str = "/_load";

/// Timeout for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for an order. With a longer one, an order could still arrive after the pause that a duty's successor waits.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Adapter that sends requests to plain services.
#[derive(Debug)]
pub struct Plain {
    client: Rc<Client>,
}

impl Plain {
    /// Creates the adapter on a thread's connections.
    pub const fn new(client: Rc<Client>) -> Self {
        Self { client }
    }
}

impl Adapter for Plain {
    fn send(&self, call: Call) -> LocalBoxFuture<'_, Result<Answer, Failure>> {
        self.client.send(call).boxed_local()
    }

    fn is_refusal(&self, answer: &Answer) -> bool {
        header::says_not_run(&answer.headers) && answer.status.is_server_error()
    }

    fn load<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Result<load::Report, Failure>> {
        self.client.load(target, LOAD_PATH, LOAD_TIMEOUT).boxed_local()
    }

    fn order<'a>(&'a self, target: &'a Target, order: Order) -> LocalBoxFuture<'a, Result<(), order::Error>> {
        self.client.order(target, order, ORDER_TIMEOUT).boxed_local()
    }

    fn resume(&self, _path: &str, _body: &Bytes, _progress: &Progress) -> Resumption {
        Resumption::Impossible
    }
}

plugin::inventory::submit! {
    Kind { name: "http", build: |client| Rc::new(Plain::new(client)) }
}
