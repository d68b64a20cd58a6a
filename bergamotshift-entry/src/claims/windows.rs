//! Joins and replays keyed requests inside one process.

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

/// Requests with a key are spread over so many locks; requests without one take none.
const PARTS: usize = 16;

/// What the first request under a key leaves to those who joined it: nothing when it brought no answer.
type Left = Option<Answer>;

/// The keyed requests of one process.
#[derive(Debug)]
pub struct Windows([Mutex<Window<oneshot::Sender<Left>>>; PARTS]);

/// What becomes of a keyed request.
#[derive(Debug)]
pub enum Decision {
    /// It is the first: it runs, and tells how it ended.
    Start(Leader),
    /// Another one is running; this brings its answer.
    Join(oneshot::Receiver<Left>),
    /// Another one has run.
    Replay(Answer),
    /// The key belongs to another request.
    Mismatch,
    /// Too many wait already.
    Full,
}

/// A request that is the first under its key; dropping it lets the next one start.
#[derive(Debug)]
pub struct Leader {
    shared: Arc<Shared>,
    scope: Option<Scope>,
}

impl Windows {
    /// Makes windows that remember nothing yet.
    pub fn new() -> Self {
        let whole = window::Settings::default();
        let settings = window::Settings {
            max_bytes: whole.max_bytes / PARTS,
            ..whole
        };
        Self(core::array::from_fn(|_| Mutex::new(Window::new(settings))))
    }

    /// Takes a request in.
    pub fn enter(shared: &Arc<Shared>, scope: Scope, digest: Digest) -> Decision {
        let (ticket, left) = oneshot::channel();
        let entered = shared.windows.part(&scope).enter(shared.now(), &scope, digest, ticket);
        match entered {
            window::Decision::Start => Decision::Start(Leader {
                shared: Arc::clone(shared),
                scope: Some(scope),
            }),
            window::Decision::Join => Decision::Join(left),
            window::Decision::Replay(answer) => Decision::Replay(answer),
            window::Decision::Mismatch => Decision::Mismatch,
            window::Decision::Full => Decision::Full,
        }
    }

    fn part(&self, scope: &Scope) -> MutexGuard<'_, Window<oneshot::Sender<Left>>> {
        let hash = Fingerprint::of(scope.organisation.as_str(), "", &scope.key, b"").get();
        let part = &self.0[hash as usize % PARTS];
        part.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Windows {
    fn default() -> Self {
        Self::new()
    }
}

impl Leader {
    /// Leaves an answer to those who joined and those who come later.
    pub fn finish(mut self, answer: &Answer) {
        self.leave(Some(answer));
    }

    fn leave(&mut self, answer: Option<&Answer>) {
        let Some(scope) = self.scope.take() else { return };
        let waiting = self
            .shared
            .windows
            .part(&scope)
            .finish(self.shared.now(), &scope, answer.cloned());
        for ticket in waiting {
            let _ = ticket.send(answer.cloned());
        }
    }
}

impl Drop for Leader {
    fn drop(&mut self) {
        self.leave(None);
    }
}
