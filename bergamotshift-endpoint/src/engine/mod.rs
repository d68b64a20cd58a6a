//! Adapter for model engines with an OpenAI-compatible API.
//!
//! The adapter sends requests and handles the engine's event streams: [`event`] splits them into events without
//! parsing, [`progress`] records the part that was delivered, [`resume`] builds the request that continues from there, and
//! [`version`] reads the version that an engine states.

pub mod event;
pub mod progress;
pub mod resume;
pub mod version;

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::load;
use bergamotshift_core::plugin;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ntex::http::StatusCode;
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
use crate::order;
use crate::order::Order;

/// Path of an engine's load report.
const LOAD_PATH: &str = "/_load";

/// Timeout for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for an order. With a longer one, an order could still arrive after the pause that a duty's successor waits.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Adapter that sends requests to model engines.
#[derive(Debug)]
pub struct Engine {
    client: Rc<Client>,
}

impl Engine {
    /// Creates the adapter on a thread's connections.
    pub const fn new(client: Rc<Client>) -> Self {
        Self { client }
    }
}

impl Adapter for Engine {
    fn send(&self, call: Call) -> LocalBoxFuture<'_, Result<Answer, Failure>> {
        self.client.send(call).boxed_local()
    }

    fn is_refusal(&self, answer: &Answer) -> bool {
        // An engine either queues a request or answers with one of these statuses. A refused request changes no state
        // of the engine.
        matches!(
            answer.status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        )
    }

    fn load<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Result<load::Report, Failure>> {
        self.client.load(target, LOAD_PATH, LOAD_TIMEOUT).boxed_local()
    }

    fn order<'a>(&'a self, target: &'a Target, order: Order) -> LocalBoxFuture<'a, Result<(), order::Error>> {
        self.client.order(target, order, ORDER_TIMEOUT).boxed_local()
    }

    fn resume(&self, path: &str, body: &Bytes, progress: &Progress) -> Resumption {
        resume::plan(path, body, progress)
    }
}

plugin::inventory::submit! {
    Kind { name: "engine", build: |client| Rc::new(Engine::new(client)) }
}
