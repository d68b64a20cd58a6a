//! The engine's state and its resources.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::Notify;

use super::batch;
use super::batch::Batch;
use super::batch::Sequence;
use super::cache;
use super::cache::Cache;
use super::completion;
use super::event;
use super::kv;
use super::load::Reports;
use super::order;
use super::order::Action;
use super::order::Duty;
use super::order::Order;
use super::request::Prompt;
use super::settings::Settings;
use crate::fault::Plan;
use crate::host;
use crate::host::Answer;
use crate::host::Call;
use crate::host::Control;
use crate::host::Site;
use crate::ledger::Entry;
use crate::ledger::Ledger;
use crate::ledger::Run;
use crate::ledger::State;

/// A model engine behind its HTTP interface.
#[derive(Debug)]
pub(super) struct Place {
    settings: Settings,
    ledger: Ledger,
    state: Mutex<Inner>,
    /// Tells the task that steps the batch that requests came or went.
    changed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    batch: Batch,
    /// Whether a task steps the batch.
    stepping: bool,
    reports: Reports,
    cache: Cache,
    events: event::Log,
    imported: kv::Imported,
    duty: Duty,
    leaving: bool,
}

impl Inner {
    fn new(settings: &Settings) -> Self {
        Self {
            duty: Duty::new(&settings.models),
            ..Self::default()
        }
    }
}

impl Place {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            state: Mutex::new(Inner::new(&settings)),
            settings,
            ledger: Ledger::new(),
            changed: Notify::new(),
        }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn ledger(&self) -> Vec<Run> {
        self.ledger.runs()
    }

    pub(super) fn begin(&self, run: Run) -> Entry {
        self.ledger.begin(run)
    }

    /// Forgets everything: the engine died, and its next incarnation starts afresh.
    pub(super) fn die(&self) {
        let mut state = self.state();
        // The task that steps the batch goes on and finds it empty.
        let stepping = state.stepping;
        let batch = state.batch.successor();
        *state = Inner {
            batch,
            stepping,
            ..Inner::new(&self.settings)
        };
        drop(state);
        self.ledger.die();
    }

    pub(super) fn drain(&self) {
        self.state().leaving = true;
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.state().leaving
    }

    pub(super) fn lose_events(&self, count: u32) {
        self.state().events.lose(count);
    }

    pub(super) fn duty(&self) -> Duty {
        self.state().duty.clone()
    }

    /// Returns whether a model is served; an engine that was given no models serves any.
    pub(super) fn serves(&self, model: &SmolStr) -> bool {
        let state = self.state();
        let any = self.settings.models.is_empty() && state.duty.orders.is_empty();
        any || state.duty.models.iter().any(|(known, _)| known == model)
    }

    /// Takes a prompt into the prefix cache and returns how many of its tokens need no computing.
    pub(super) fn prefix(&self, prompt: &Prompt, attempt: Option<&SmolStr>) -> u32 {
        let blocks = cache::blocks(&prompt.words, self.settings.block_tokens);
        let most = self.settings.cache_tokens / self.settings.block_tokens.max(1);
        let mut state = self.state();
        let hits = state.cache.hits(&blocks) as u32 * self.settings.block_tokens;
        let imported = state.imported.spend(prompt.digest);
        let changes = state.cache.insert(&blocks, most as usize);
        state.events.push(&changes, attempt);
        hits.max(imported)
    }

    /// Puts a request into the batch and sees that the batch is stepped; to be called on the host's thread.
    pub(super) fn submit(self: &Arc<Self>, control: &Arc<Control>, sequence: Sequence) -> batch::Id {
        let mut state = self.state();
        let id = state.batch.push(sequence);
        if !core::mem::replace(&mut state.stepping, true) {
            ntex::rt::spawn(Arc::clone(self).step(Arc::clone(control)));
        }
        self.changed.notify_one();
        id
    }

    /// Takes a request out whose caller went away.
    pub(super) fn cancel(&self, id: batch::Id) {
        let removed = self.state().batch.remove(id);
        if let Some(entry) = removed {
            self.ledger.end(entry, State::Cancelled);
            self.changed.notify_one();
        }
    }

    /// Steps the batch until it is empty.
    async fn step(self: Arc<Self>, control: Arc<Control>) {
        loop {
            control.unpaused().await;
            let now = Instant::now();
            let steps = {
                let mut state = self.state();
                let steps = state.batch.advance(&self.settings, now);
                state.stepping = steps.next.is_some();
                steps
            };
            for entry in steps.tokens {
                self.ledger.change(entry, |run| run.tokens += 1);
            }
            for entry in steps.finished {
                self.ledger.end(entry, State::Finished);
            }
            for entry in steps.cancelled {
                self.ledger.end(entry, State::Cancelled);
            }
            match steps.next {
                None => return,
                Some(next) if next <= now => tokio::task::yield_now().await,
                Some(next) => tokio::select! {
                    () = tokio::time::sleep_until(next.into()) => {}
                    () = self.changed.notified() => {}
                },
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn models(&self) -> Response {
        let state = self.state();
        let data: Vec<_> = state.duty.models.iter().map(|(name, _)| model(name)).collect();
        host::json(&json!({"object": "list", "data": data}))
    }

    fn load(&self) -> Response {
        let mut state = self.state();
        let state = &mut *state;
        let report = state
            .reports
            .next(&self.settings, &state.batch, state.cache.len(), state.leaving);
        host::json(&report)
    }

    fn events(&self, call: &Call) -> Response {
        let since = call.parameter("since").and_then(|text| text.parse().ok()).unwrap_or(0);
        let events = self.state().events.since(since, self.settings.event_lag);
        host::json(&json!({"incarnation": call.control.incarnation(), "events": events}))
    }

    fn export(&self, call: &Call) -> Response {
        let wanted: kv::Export = match call.parse() {
            Ok(wanted) => wanted,
            Err(response) => return response,
        };
        let state = self.state();
        let Some(sequence) = state.batch.find(&wanted.attempt) else {
            return host::error(
                StatusCode::NOT_FOUND,
                "NotFoundError",
                "the attempt is not in the batch",
            );
        };
        host::json(&kv::export(
            &self.settings,
            sequence.digest,
            sequence.prompt + sequence.next,
        ))
    }

    /// Imports KV cache, which its owner has to outlive.
    async fn import(&self, call: &Call) -> Response {
        let import: kv::Import = match call.parse() {
            Ok(import) => import,
            Err(response) => return response,
        };
        tokio::time::sleep(kv::transfer(&self.settings, &import.handle)).await;
        if tokio::net::TcpStream::connect(import.source).await.is_err() {
            return host::error(StatusCode::BAD_GATEWAY, "TransferError", "the owner went away");
        }
        match call.while_alive(|| self.state().imported.take(&import.handle)) {
            Some(true) => Response::new(StatusCode::NO_CONTENT),
            Some(false) => host::error(StatusCode::BAD_REQUEST, "BadRequestError", "no such handle"),
            None => host::dead(),
        }
    }

    async fn order(&self, call: &Call) -> Response {
        let order: Order = match call.parse() {
            Ok(order) => order,
            Err(response) => return response,
        };
        if matches!(order.action, Action::Load { .. }) {
            tokio::time::sleep(self.settings.load_time).await;
        }
        match call.while_alive(|| self.state().duty.take(order, self.settings.checks_fencing)) {
            Some(Ok(())) => host::json(&self.duty()),
            Some(Err(order::Stale)) => host::error(
                StatusCode::CONFLICT,
                "StaleFencing",
                "a higher fencing number came before",
            ),
            None => host::dead(),
        }
    }
}

fn model(name: &SmolStr) -> serde_json::Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "standin"})
}

impl Site for Place {
    fn kind(&self, call: &Call) -> String {
        format!("{} {}", call.method, call.path)
    }

    fn streams(&self, call: &Call) -> bool {
        completion::streams(call)
    }

    fn answer(self: Arc<Self>, call: Call, plan: Plan) -> Answer {
        Box::pin(async move {
            match (&call.method, call.path.as_str()) {
                (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                    completion::answer(&self, call, plan).await
                }
                (&Method::GET, "/v1/models") => self.models(),
                (&Method::GET, "/health") => Response::new(StatusCode::OK),
                (&Method::GET, "/_load") => self.load(),
                (&Method::GET, "/_ledger") => host::json(&self.ledger.runs()),
                (&Method::GET, "/_events") => self.events(&call),
                (&Method::POST, "/_drain") => {
                    self.drain();
                    Response::new(StatusCode::NO_CONTENT)
                }
                (&Method::POST, "/_kv/export") => self.export(&call),
                (&Method::POST, "/_kv/import") => self.import(&call).await,
                (&Method::GET, "/_orders") => host::json(&self.duty()),
                (&Method::POST, "/_orders") => self.order(&call).await,
                _ => host::error(StatusCode::NOT_FOUND, "NotFoundError", "no such resource"),
            }
        })
    }
}
