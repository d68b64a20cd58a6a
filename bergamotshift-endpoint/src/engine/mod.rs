//! The adapter for model engines that speak the OpenAI-compatible API.
//!
//! Beside carrying requests it knows the engine's event streams: how to split them into events without parsing
//! ([`event`]), what a stream has delivered so far ([`progress`]), and which request goes on from there ([`resume`]).

pub mod event;
pub mod progress;
pub mod resume;

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

/// Where an engine reports its load.
const LOAD_PATH: &str = "/_load";

/// How long a load report may take.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an order may take; a longer way would outlive the pause that a duty's successor waits out.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Carries requests to model engines.
#[derive(Debug)]
pub struct Engine {
    client: Rc<Client>,
}

impl Engine {
    /// Makes the adapter over a thread's connections.
    pub const fn new(client: Rc<Client>) -> Self {
        Self { client }
    }
}

impl Adapter for Engine {
    fn send(&self, call: Call) -> LocalBoxFuture<'_, Result<Answer, Failure>> {
        self.client.send(call).boxed_local()
    }

    fn is_refusal(&self, answer: &Answer) -> bool {
        // An engine takes a request into its queue or answers one of these; it has no state that a refused one touches.
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
