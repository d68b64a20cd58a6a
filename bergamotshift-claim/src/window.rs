//! Joins and replays requests that carry the same idempotency key, inside one process.
//!
//! For repeatable requests this is all there is: no platform call lies on their path, and a request that reaches
//! another entry may run again without harm. For non-repeatable requests the window stands before the claim, which
//! settles what several entries see.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use core::time::Duration;

use bergamotshift_core::clock::Instant;

use crate::answer::Answer;
use crate::answer::Body;
use crate::digest::Digest;
use crate::scope::Scope;

/// How much a window remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long an answer can be replayed.
    pub retention: Duration,
    /// The most bytes of kept answers.
    pub max_bytes: usize,
    /// The longest single answer that is kept, in bytes.
    pub max_answer_bytes: usize,
    /// The most requests that can wait for one answer.
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

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is the first under its key: run it, then call [`Window::finish`].
    Start,
    /// The first one is running: its answer goes to this one too.
    Join,
    /// The first one has run: this was its answer.
    Replay(Answer),
    /// The key belongs to a request with another body.
    Mismatch,
    /// Too many requests already wait for the first one's answer.
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

/// Remembers the requests of one process by idempotency key; `T` tells waiting callers apart.
#[derive(Clone, Debug)]
pub struct Window<T> {
    settings: Settings,
    slots: BTreeMap<Scope, Slot<T>>,
    /// Kept answers, oldest first.
    order: VecDeque<(Instant, Scope)>,
    bytes: usize,
}

impl<T> Window<T> {
    /// Makes an empty window.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            slots: BTreeMap::new(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Takes a request in; `ticket` comes back from [`Window::finish`] if it joins.
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

    /// Ends the running request and returns those who joined it.
    ///
    /// With an answer, later requests under the key replay it; without one, the next request starts anew.
    pub fn finish(&mut self, now: Instant, scope: &Scope, answer: Option<Answer>) -> Vec<T> {
        let Some(Slot::Running { digest, waiting }) = self.slots.remove(scope) else {
            return Vec::new();
        };
        if let Some(answer) = answer.filter(|answer| self.is_kept(answer)) {
            self.bytes += size(&answer);
            self.order.push_back((now, scope.clone()));
            let since = now;
            self.slots.insert(scope.clone(), Slot::Done { digest, answer, since });
            self.expire(now);
        }
        waiting
    }

    /// Returns the bytes of kept answers.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn is_kept(&self, answer: &Answer) -> bool {
        matches!(answer.body, Body::Inline(_)) && size(answer) <= self.settings.max_answer_bytes
    }

    fn expire(&mut self, now: Instant) {
        while let Some((since, _)) = self.order.front() {
            let old = now.since(*since) >= self.settings.retention;
            if !old && self.bytes <= self.settings.max_bytes {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((kept, scope)) = self.order.pop_front() else {
            return;
        };
        if let Some(Slot::Done { answer, since, .. }) = self.slots.get(&scope)
            && *since == kept
        {
            self.bytes -= size(answer);
            self.slots.remove(&scope);
        }
    }
}

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
