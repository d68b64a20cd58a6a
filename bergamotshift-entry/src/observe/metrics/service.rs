//! The metrics of one service.

use core::time::Duration;
use std::sync::Arc;
use std::time::Instant;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::retry;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::histogram::Histogram;
use super::label;
use super::registry::Register;

/// The metrics of one service, looked up when a snapshot is made so that no request has to.
#[derive(Clone, Debug, Default)]
pub struct ServiceMetrics {
    /// Requests let in.
    pub requests: Counter,
    /// Attempts sent towards endpoints.
    pub attempts: Counter,
    /// Attempts that brought no whole answer.
    pub broken: Counter,
    /// Attempts that an endpoint refused before any work.
    pub refused: Counter,
    /// Streams that went on at another endpoint.
    pub resumed: Counter,
    retries: [Counter; CAUSES.len()],
    answered: Counter,
    failed: Counter,
    cancelled: Counter,
    first: Histogram,
    answer: Histogram,
}

/// What makes an attempt be followed by another.
const CAUSES: [retry::Failure; 4] = [
    retry::Failure::Refused,
    retry::Failure::Broken,
    retry::Failure::Timeout,
    retry::Failure::Moved,
];

const fn cause(failure: retry::Failure) -> (usize, &'static str) {
    match failure {
        retry::Failure::Refused => (0, "refused"),
        retry::Failure::Broken => (1, "broken"),
        retry::Failure::Timeout => (2, "timeout"),
        retry::Failure::Moved => (3, "moved"),
    }
}

impl ServiceMetrics {
    /// Counts an attempt that follows another.
    pub fn retried(&self, failure: retry::Failure) {
        self.retries[cause(failure).0].inc();
    }
}

/// The families that the services' metrics belong to.
#[derive(Debug, Default)]
pub(super) struct Services {
    requests: Family<label::Service, Counter>,
    answers: Family<label::Answer, Counter>,
    attempts: Family<label::Service, Counter>,
    broken: Family<label::Service, Counter>,
    refused: Family<label::Service, Counter>,
    retries: Family<label::Retry, Counter>,
    resumed: Family<label::Service, Counter>,
    first: Family<label::Service, Histogram>,
    answer: Family<label::Service, Histogram>,
}

impl Services {
    pub(super) fn register(&self, register: &mut Register) {
        register.family("requests", "Requests let in", &self.requests);
        register.family("answers", "Requests let in that have ended", &self.answers);
        register.family("attempts", "Attempts sent towards endpoints", &self.attempts);
        let help = "Attempts that brought no whole answer";
        register.family("broken_attempts", help, &self.broken);
        let help = "Attempts that an endpoint refused before any work";
        register.family("refused_attempts", help, &self.refused);
        register.family("retries", "Attempts that followed a failed one", &self.retries);
        let help = "Streams that went on at another endpoint";
        register.family("resumed_streams", help, &self.resumed);
        let help = "Time from letting a request in to the first part of its answer";
        register.family("first_token_seconds", help, &self.first);
        let help = "Time from letting a request in to the end of its answer";
        register.family("answer_seconds", help, &self.answer);
    }

    pub(super) fn of(&self, name: &name::Service) -> ServiceMetrics {
        let service = || name.as_str().to_owned();
        let label = label::Service { service: service() };
        let ended = |outcome| {
            let service = service();
            self.answers.get_or_create_owned(&label::Answer { service, outcome })
        };
        ServiceMetrics {
            requests: self.requests.get_or_create_owned(&label),
            attempts: self.attempts.get_or_create_owned(&label),
            broken: self.broken.get_or_create_owned(&label),
            refused: self.refused.get_or_create_owned(&label),
            resumed: self.resumed.get_or_create_owned(&label),
            retries: CAUSES.map(|failure| {
                let (service, (_, cause)) = (service(), cause(failure));
                self.retries.get_or_create_owned(&label::Retry { service, cause })
            }),
            answered: ended("answered"),
            failed: ended("failed"),
            cancelled: ended("cancelled"),
            first: self.first.get_or_create_owned(&label),
            answer: self.answer.get_or_create_owned(&label),
        }
    }
}

/// Follows one request from its being let in to its end, and counts it when it is dropped.
///
/// A caller that goes away drops the work at any place; counting at the drop misses none.
#[derive(Debug)]
pub struct Record {
    metrics: Option<Arc<ServiceMetrics>>,
    started: Instant,
    first: Option<Duration>,
    end: End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Nobody waited for the answer any more.
    Cancelled,
    Answered,
    Failed,
}

impl Record {
    /// Begins to follow a request of a service.
    pub fn new(metrics: Option<Arc<ServiceMetrics>>) -> Self {
        Self {
            metrics,
            started: Instant::now(),
            first: None,
            end: End::Cancelled,
        }
    }

    /// Notes that a part of the answer is there.
    pub fn first(&mut self) {
        if self.first.is_none() {
            self.first = Some(self.started.elapsed());
        }
    }

    /// Notes that the answer is whole.
    pub fn answered(&mut self) {
        self.first();
        self.end = End::Answered;
    }

    /// Notes that the caller is told of a failure.
    pub const fn failed(&mut self) {
        self.end = End::Failed;
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let Some(metrics) = &self.metrics else { return };
        if let Some(first) = self.first {
            metrics.first.observe(first);
        }
        match self.end {
            End::Cancelled => metrics.cancelled.inc(),
            End::Failed => metrics.failed.inc(),
            End::Answered => {
                metrics.answer.observe(self.started.elapsed());
                metrics.answered.inc()
            }
        };
    }
}
