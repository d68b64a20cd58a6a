//! The engine's state and its resources.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use bergamotshift_core::load::Report;
use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use serde_json::json;
use smol_str::SmolStr;

use super::batch;
use super::batch::Batch;
use super::batch::Sequence;
use super::completion;
use super::settings::Settings;
use crate::fault::Plan;
use crate::host;
use crate::host::Answer;
use crate::host::Call;
use crate::host::Control;
use crate::host::Site;
use crate::ledger::Ledger;
use crate::ledger::Run;
use crate::ledger::State;

/// A model engine behind its HTTP interface.
#[derive(Debug)]
pub(super) struct Place {
    settings: Settings,
    ledger: Ledger,
    state: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    batch: Batch,
    /// Whether a task steps the batch.
    stepping: bool,
    reports: u64,
}

impl Place {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            ledger: Ledger::new(),
            state: Mutex::default(),
        }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn ledger(&self) -> Vec<Run> {
        self.ledger.runs()
    }

    pub(super) fn begin(&self, run: Run) -> crate::ledger::Entry {
        self.ledger.begin(run)
    }

    /// Forgets all requests: the engine died under them.
    pub(super) fn die(&self) {
        self.state().batch = Batch::default();
        self.ledger.die();
    }

    /// Puts a request into the batch and sees that the batch is stepped; to be called on the host's thread.
    pub(super) fn submit(self: &Arc<Self>, control: &Arc<Control>, sequence: Sequence) -> batch::Id {
        let mut state = self.state();
        let id = state.batch.push(sequence);
        if !core::mem::replace(&mut state.stepping, true) {
            ntex::rt::spawn(Arc::clone(self).step(Arc::clone(control)));
        }
        id
    }

    /// Takes a request out whose caller went away.
    pub(super) fn cancel(&self, id: batch::Id) {
        let removed = self.state().batch.remove(id);
        if let Some(entry) = removed {
            self.ledger.end(entry, State::Cancelled);
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
                Some(next) => tokio::time::sleep_until(next.into()).await,
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn models(&self) -> Response {
        let data: Vec<_> = self.settings.models.iter().map(model).collect();
        host::json(&json!({"object": "list", "data": data}))
    }

    fn load(&self) -> Report {
        let mut state = self.state();
        state.reports += 1;
        let (running, waiting) = state.batch.sizes();
        let interval = batch::interval(&self.settings, running as usize).as_secs_f64();
        let rate = if interval > 0.0 {
            f64::from(running) / interval
        } else {
            0.0
        };
        Report {
            sequence: state.reports,
            running,
            waiting,
            slots: self.settings.slots,
            prefill_backlog: state.batch.backlog(),
            decode_rate: rate as u32,
            cache_permille: 0,
            leaving: false,
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
                (&Method::GET, "/_load") => host::json(&self.load()),
                (&Method::GET, "/_ledger") => host::json(&self.ledger.runs()),
                _ => host::error(StatusCode::NOT_FOUND, "NotFoundError", "no such resource"),
            }
        })
    }
}
