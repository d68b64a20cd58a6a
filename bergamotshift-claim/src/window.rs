//! Deduplication of requests with the same idempotency key within one process.
//!
//! Repeatable requests need nothing else: they make no call to the platform, and a request that reaches another entry
//! may be executed again without harm. Non-repeatable requests pass the window before they write a claim, which
//! deduplicates them across entries.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use core::time::Duration;

use bergamotshift_core::clock::Instant;

use crate::answer::Answer;
use crate::answer::Body;
use crate::digest::Digest;
use crate::scope::Scope;

/// Settings of a [`Window`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which an answer can be replayed.
    pub retention: Duration,
    /// Maximum size of all stored answers, in bytes.
    pub max_bytes: usize,
    /// Maximum size of a stored answer, in bytes; larger ones are not stored.
    pub max_answer_bytes: usize,
    /// Maximum number of requests that wait for the same answer.
    pub max_joined: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_mins(10),
            max_bytes: 16 << 20,
            max_answer_bytes: 64 << 10,
            max_joined: 16,
        }
    }
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is the first one with its key. Execute it, then call [`Window::finish`].
    Start,
    /// A request with the same key is running. Its answer is returned for this request too.
    Join,
    /// A request with the same key was executed, with this answer.
    Replay(Answer),
    /// The key was used for a different request.
    Mismatch,
    /// Too many requests wait for the running request's answer.
    Full,
}

#[derive(Clone, Debug)]
enum Slot<T> {
    Running {
        digest: Digest,
        waiting: Vec<T>,
    },
    Done {
        digest: Digest,
        answer: Answer,
        since: Instant,
    },
}

/// Requests of one process by idempotency key; a `T` identifies each waiting caller.
#[derive(Clone, Debug)]
pub struct Window<T> {
    settings: Settings,
    slots: BTreeMap<Scope, Slot<T>>,
    /// Times and scopes of the stored answers, oldest first.
    order: VecDeque<(Instant, Scope)>,
    bytes: usize,
}

impl<T> Window<T> {
    /// Creates an empty window.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            slots: BTreeMap::new(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Decides on a request. If it joins a running one, [`Window::finish`] returns its `ticket`.
    pub fn enter(&mut self, now: Instant, scope: &Scope, digest: Digest, ticket: T) -> Decision {
        self.expire(now);
        match self.slots.get_mut(scope) {
            None => {
                let waiting = Vec::new();
                self.slots.insert(scope.clone(), Slot::Running { digest, waiting });
                Decision::Start
            }
            Some(Slot::Running { digest: first, .. } | Slot::Done { digest: first, .. }) if *first != digest => {
                Decision::Mismatch
            }
            Some(Slot::Done { answer, .. }) => Decision::Replay(answer.clone()),
            Some(Slot::Running { waiting, .. }) if waiting.len() >= self.settings.max_joined => Decision::Full,
            Some(Slot::Running { waiting, .. }) => {
                waiting.push(ticket);
                Decision::Join
            }
        }
    }

    /// Completes the running request and returns the tickets of the requests that joined it.
    ///
    /// Later requests with the key replay `answer`; without one, the next request is executed.
    pub fn finish(&mut self, now: Instant, scope: &Scope, answer: Option<Answer>) -> Vec<T> {
        let Some(Slot::Running { digest, waiting }) = self.slots.remove(scope) else {
            return Vec::new();
        };
        if let Some(answer) = answer.filter(|answer| self.is_storable(answer)) {
            self.bytes += size(&answer);
            self.order.push_back((now, scope.clone()));
            let since = now;
            self.slots.insert(scope.clone(), Slot::Done { digest, answer, since });
            self.expire(now);
        }
        waiting
    }

    /// Returns the size of all stored answers, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn is_storable(&self, answer: &Answer) -> bool {
        matches!(answer.body, Body::Inline(_)) && size(answer) <= self.settings.max_answer_bytes
    }

    /// Removes expired answers, and the oldest ones while the size limit is exceeded.
    fn expire(&mut self, now: Instant) {
        while let Some((since, _)) = self.order.front() {
            let is_expired = now.since(*since) >= self.settings.retention;
            if !is_expired && self.bytes <= self.settings.max_bytes {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((stored, scope)) = self.order.pop_front() else {
            return;
        };
        if let Some(Slot::Done { answer, since, .. }) = self.slots.get(&scope)
            && *since == stored
        {
            self.bytes -= size(answer);
            self.slots.remove(&scope);
        }
    }
}

/// Returns the size of an answer's headers and inline body, in bytes.
fn size(answer: &Answer) -> usize {
    let headers = answer
        .headers
        .iter()
        .map(|header| header.name.len() + header.value.len())
        .sum::<usize>();
    let body = match &answer.body {
        Body::Inline(bytes) => bytes.len(),
        Body::Object { .. } | Body::Dropped => 0,
    };
    headers + body
}
