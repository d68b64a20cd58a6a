//! Deduplication of requests with an idempotency key within one process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_claim::answer::Answer;
use bergamotshift_claim::digest::Digest;
use bergamotshift_claim::scope::Scope;
use bergamotshift_claim::window;
use bergamotshift_claim::window::Window;
use bergamotshift_core::prelude::*;
use tokio::sync::oneshot;

use crate::worker::Shared;

/// Number of locks over which requests with a key are spread; requests without a key take none.
const SHARDS: usize = 16;

/// Answer that the first request with a key hands to the requests that joined it; `None` if it got none.
type Joined = Option<Answer>;

/// Deduplication windows of one process, sharded by organisation and key.
#[derive(Debug)]
pub struct Windows([Mutex<Window<oneshot::Sender<Joined>>>; SHARDS]);

/// Decision on a request with a key.
#[derive(Debug)]
pub enum Decision {
    /// The request is the first one with its key and is to be executed.
    Start(Leader),
    /// A request with the same key is running; its answer arrives here.
    Join(oneshot::Receiver<Joined>),
    /// A request with the same key was executed, with this answer.
    Replay(Answer),
    /// The key was used for a different request.
    Mismatch,
    /// Too many requests wait for the running request's answer.
    Full,
}

/// Guard of the first request with a key; dropping it without an answer lets the next request with the key start.
#[derive(Debug)]
pub struct Leader {
    shared: Arc<Shared>,
    scope: Option<Scope>,
}

impl Windows {
    /// Creates empty windows.
    pub fn new() -> Self {
        let defaults = window::Settings::default();
        let settings = window::Settings {
            max_bytes: defaults.max_bytes / SHARDS,
            ..defaults
        };
        Self(core::array::from_fn(|_| Mutex::new(Window::new(settings))))
    }

    /// Decides on a request.
    pub fn enter(shared: &Arc<Shared>, scope: Scope, digest: Digest) -> Decision {
        let (sender, receiver) = oneshot::channel();
        let entered = shared.windows.lock(&scope).enter(shared.now(), &scope, digest, sender);
        match entered {
            window::Decision::Start => Decision::Start(Leader {
                shared: Arc::clone(shared),
                scope: Some(scope),
            }),
            window::Decision::Join => Decision::Join(receiver),
            window::Decision::Replay(answer) => Decision::Replay(answer),
            window::Decision::Mismatch => Decision::Mismatch,
            window::Decision::Full => Decision::Full,
        }
    }

    /// Locks the window that is responsible for a scope.
    fn lock(&self, scope: &Scope) -> MutexGuard<'_, Window<oneshot::Sender<Joined>>> {
        let hash = Fingerprint::of(scope.organisation.as_str(), "", &scope.key, b"").get();
        let shard = &self.0[hash as usize % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Windows {
    fn default() -> Self {
        Self::new()
    }
}

impl Leader {
    /// Shares an answer with the requests that joined and with later ones.
    pub fn finish(mut self, answer: &Answer) {
        self.complete(Some(answer));
    }

    /// Completes the request and sends its answer to the requests that joined; does nothing the second time.
    fn complete(&mut self, answer: Option<&Answer>) {
        let Some(scope) = self.scope.take() else { return };
        let waiting = self
            .shared
            .windows
            .lock(&scope)
            .finish(self.shared.now(), &scope, answer.cloned());
        for sender in waiting {
            let _ = sender.send(answer.cloned());
        }
    }
}

impl Drop for Leader {
    fn drop(&mut self) {
        self.complete(None);
    }
}
