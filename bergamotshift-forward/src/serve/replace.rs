//! Tries other endpoints while the endpoint of an attempt is silent.

use core::cell::Cell;
use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::silence::Action;
use bergamotshift_limit::silence::Watch;
use futures_util::future::Either;
use futures_util::future::select;
use ntex::http::StatusCode;
use tokio::time::timeout;

use super::Forwarder;
use super::attempt::Exchange;
use super::attempt::History;
use super::attempt::Outcome;
use super::job::Job;
use super::replacement::Replacement;
use super::send::Sent;
use crate::document::Kind;
use crate::endpoint::Endpoint;
use crate::exchange::Failure;
use crate::exchange::Head;

/// First response of an endpoint and its replacements that a caller may get.
enum Winner {
    /// Response of the endpoint, or its failure if no replacement responded either.
    First(Result<Head, Failure>),
    /// Response of a replacement, and that of the endpoint if it came before and is none for the caller.
    Replacement(Box<Exchange>, Option<Result<Head, Failure>>),
}

/// Time for which a replacement may work beside a silent attempt.
pub(super) struct Overlap<'a> {
    bound: Cell<Option<Duration>>,
    is_lifted: Cell<bool>,
    watch: &'a Watch,
    silent: Arc<Endpoint>,
}

impl<'a> Overlap<'a> {
    /// Creates the overlap with an attempt at an endpoint, with the bound that was decided on.
    pub(super) const fn new(bound: Option<Duration>, watch: &'a Watch, silent: Arc<Endpoint>) -> Self {
        Self {
            bound: Cell::new(bound),
            is_lifted: Cell::new(false),
            watch,
            silent,
        }
    }

    /// Returns the time; `None` without a bound.
    fn get(&self) -> Option<Duration> {
        self.bound.get()
    }

    /// Lifts the bound for good, as the silent attempt has ended.
    pub(super) fn lift(&self) {
        self.is_lifted.set(true);
        self.bound.set(None);
    }

    /// Sets the bound by what is known now of the path to the silent endpoint.
    fn renew(&self) {
        if !self.is_lifted.get() {
            let path = self.silent.pulse.path(self.watch.heard());
            self.bound.set(self.watch.overlap(path));
        }
    }
}

impl Forwarder {
    /// Waits for the response to a request that may run twice. If its endpoint is silent for longer than `limit`, other
    /// endpoints are tried meanwhile, and the first response that a caller may get is taken.
    pub(super) async fn receive_or_replace(
        self: &Rc<Self>,
        job: &Job,
        mut sent: Sent,
        history: &mut History,
        limit: Duration,
    ) -> Outcome {
        let mut fallback = None;
        match self.race(job, &mut sent, history, limit, &mut fallback).await {
            Winner::First(received) => self.conclude(job, history, sent, received).or(fallback),
            Winner::Replacement(exchange, None) => {
                self.give_up(job, &mut sent.guard);
                Outcome::Accepted(exchange)
            }
            Winner::Replacement(exchange, Some(received)) => {
                // Nothing follows from the response or the failure but what it shows of its endpoint.
                self.conclude(job, history, sent, received);
                Outcome::Accepted(exchange)
            }
        }
    }

    /// Waits for the response to a request and, while its endpoint is silent, for those of replacements.
    async fn race(
        self: &Rc<Self>,
        job: &Job,
        sent: &mut Sent,
        history: &mut History,
        limit: Duration,
        fallback: &mut Option<Box<Exchange>>,
    ) -> Winner {
        let endpoint = Arc::clone(&sent.choice.endpoint);
        let mut receiving = Box::pin(self.receive(job, sent));
        let mut watch = self.watch(limit);
        let mut has_searched = false;
        loop {
            let may_repeat = history.can_retry(job) && history.sends < job.route.attempts;
            let action = if may_repeat {
                self.watch_attempt(job, &watch, &endpoint, has_searched)
            } else {
                Action::Wait(Instant::MAX)
            };
            match action {
                Action::Wait(until) => {
                    let wait = until.since(self.shared.clock.now());
                    if let Ok(received) = timeout(wait, &mut receiving).await {
                        return Winner::First(received);
                    }
                }
                Action::GiveUp => return Winner::First(Err(Failure::Silent)),
                Action::Replace { .. } => {
                    let sends = history.sends;
                    has_searched = true;
                    let replacing = Box::pin(self.attempt(job, history, None));
                    let (first, outcome) = match select(receiving, replacing).await {
                        Either::Left((received, _)) if self.is_answer(job, &received) => {
                            self.shared.metrics.count_replacement("overtaken");
                            return Winner::First(received);
                        }
                        Either::Left((received, replacing)) => (Either::Left(received), replacing.await),
                        Either::Right((outcome, receiving)) => (Either::Right(receiving), outcome),
                    };
                    match outcome {
                        Outcome::Accepted(exchange)
                            if exchange.head.status.is_server_error() && matches!(first, Either::Right(_)) =>
                        {
                            *fallback = Some(exchange);
                        }
                        Outcome::Accepted(exchange) => {
                            self.shared.metrics.count_replacement("answered");
                            let received = match first {
                                Either::Left(received) => Some(received),
                                Either::Right(_) => None,
                            };
                            return Winner::Replacement(exchange, received);
                        }
                        Outcome::Retry(response) => *fallback = response.or(fallback.take()),
                        Outcome::Refused(_) => {}
                    }
                    self.shared.metrics.count_replacement("failed");
                    receiving = match first {
                        Either::Left(received) => return Winner::First(received),
                        Either::Right(receiving) => receiving,
                    };
                    watch.postpone(self.shared.clock.now(), history.sends > sends);
                }
            }
        }
    }

    /// Returns whether a caller may get what an endpoint responded.
    fn is_answer(&self, job: &Job, received: &Result<Head, Failure>) -> bool {
        received.as_ref().is_ok_and(|head| {
            let is_error = head.status.is_server_error() && job.route.kind == Kind::Idempotent;
            let is_run = !self.shared.dialect.says_not_run(&head.headers);
            is_run && !is_error && head.status != StatusCode::MISDIRECTED_REQUEST
        })
    }

    /// Sends a request that goes on after `last_event` to another endpoint than those tried, and waits until its stream has
    /// begun. It has at most the time `overlap` after it is sent, unless the bound is lifted by then; the bound is renewed before
    /// each further endpoint is tried.
    ///
    /// # Errors
    ///
    /// Returns the cause when no endpoint's stream began. An attempt that was not sent costs no retry.
    pub(super) async fn replace_stream(
        self: &Rc<Self>,
        job: &Job,
        history: &mut History,
        last_event: Option<u64>,
        overlap: &Overlap<'_>,
    ) -> Result<Replacement, &'static str> {
        let view = self.shared.view.load_full();
        history.unsent = 0;
        let prepared = loop {
            match self.prepare(&view, job, history, overlap.get()).await {
                Ok(prepared) => break prepared,
                Err(Outcome::Retry(_)) => overlap.renew(),
                Err(_) => return Err("refused"),
            }
        };
        let mut sent = self.send(job, prepared, history, last_event);
        let mut beginning = Box::pin(async {
            let received = self.receive(job, &mut sent).await;
            match self.conclude(job, history, sent, received) {
                Outcome::Accepted(exchange) => Replacement::begin(self, job, *exchange, last_event).await,
                Outcome::Retry(_) | Outcome::Refused(_) => Err("failed"),
            }
        });
        if let Some(bound) = overlap.get() {
            match timeout(bound, &mut beginning).await {
                Ok(begun) => return begun,
                Err(_) if overlap.get().is_some() => return Err("late"),
                Err(_) => {}
            }
        }
        beginning.await
    }
}
