//! Sends an attempt, and asks the control thread about its endpoint after a failure.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_endpoint::answer::Answer;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::call;
use bergamotshift_endpoint::header;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use tokio::sync::oneshot;

use super::attempts::Attempts;
use super::attempts::Running;
use crate::control;
use crate::control::Verdict;
use crate::observe::Hop;
use crate::observe::Span;
use crate::snapshot::Service;

/// Timeout for the control thread's verdict on an endpoint; after it the worker continues without one.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(300);

/// Header that tells an endpoint the request's organisation.
const ORGANISATION: &str = "x-bergamotshift-organisation";

impl Attempts {
    /// Opens the trace span of an attempt.
    pub(super) fn span(&self, running: &Running) -> Span {
        let mut span = self.trace.span(Hop::Attempt);
        span.note("endpoint", &running.endpoint.vm);
        span.note("zone", &running.endpoint.zone);
        span.note("attempt", &self.started);
        span
    }

    /// Sends an attempt and returns the head of its answer.
    pub(super) async fn send(&self, service: &Service, running: &Running, body: call::Body) -> Result<Answer, Failure> {
        let call = &self.call;
        let Some(adapter) = self.worker.adapter(&service.adapter) else {
            return Err(Failure::Encode(format!(
                "the adapter {} does not exist",
                service.adapter
            )));
        };
        let remaining = call.times.deadline.since(self.worker.shared.now());
        let mut headers = call.headers.clone();
        headers.insert(
            HeaderName::from_static(ORGANISATION),
            HeaderValue::from_str(call.organisation.as_str()).unwrap_or(HeaderValue::from_static("")),
        );
        running.span.pass_on(&mut headers);
        let attempt = call::Call {
            target: running.endpoint.target.clone(),
            attempt: self.worker.generate_id(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers,
            body,
            timeout: call.times.head_timeout.min(remaining),
        };
        // The timeout of the call begins once the request is written, which an endpoint that reads nothing prevents.
        let sent = tokio::time::timeout(remaining, adapter.send(attempt)).await;
        sent.unwrap_or(Err(Failure::Timeout))
    }

    /// Returns whether an answer means that the endpoint refused the request before any work. For a request that must not run
    /// twice, the endpoint has to say so: an engine may answer with the same status when it fails in the middle.
    pub(super) fn is_refusal(&self, service: &Service, answer: &Answer) -> bool {
        let adapter = self.worker.adapter(&service.adapter);
        let is_refusal = adapter.is_some_and(|adapter| adapter.is_refusal(answer));
        is_refusal && (self.call.repeatable || header::says_not_run(&answer.headers))
    }

    /// Reports a failed attempt to the control thread, which finds out what happened to the endpoint.
    pub(super) fn report(&self, running: &Running, failure: &Failure) -> oneshot::Receiver<Verdict> {
        let (answer, verdict) = oneshot::channel();
        self.worker.shared.control.send(control::Request::AttemptFailed {
            endpoint: Arc::clone(&running.endpoint),
            connected: !matches!(failure, Failure::Connect(_)),
            fingerprint: self.call.fingerprint,
            parts: self.suspects(),
            answer,
        });
        verdict
    }

    /// Asks the control thread what happened to an endpoint whose attempt failed.
    pub(super) async fn request_verdict(&self, running: &Running, failure: &Failure) -> Verdict {
        let verdict = self.report(running, failure);
        match tokio::time::timeout(VERDICT_TIMEOUT, verdict).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Verdict::default(),
        }
    }
}
