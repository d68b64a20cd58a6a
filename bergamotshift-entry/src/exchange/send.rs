//! Sends one attempt, and asks what became of its endpoint when that broke.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_endpoint::answer::Answer;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::call;
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

/// How long a worker waits to hear what became of an endpoint before it goes on regardless.
const VERDICT_WAIT: Duration = Duration::from_millis(300);

/// Tells endpoints whose request it is.
const ORGANISATION: &str = "x-bergamotshift-organisation";

impl Attempts {
    pub(super) fn span(&self, running: &Running) -> Span {
        let mut span = self.trace.span(Hop::Attempt);
        span.note("endpoint", &running.endpoint.vm);
        span.note("zone", &running.endpoint.zone);
        span.note("attempt", &self.made);
        span
    }

    pub(super) async fn send(&self, service: &Service, running: &Running, body: call::Body) -> Result<Answer, Failure> {
        let call = &self.call;
        let Some(adapter) = self.worker.adapter(&service.adapter) else {
            return Err(Failure::Encode(format!("no adapter is called {}", service.adapter)));
        };
        let left = call.times.deadline.since(self.worker.shared.now());
        let mut headers = call.headers.clone();
        headers.insert(
            HeaderName::from_static(ORGANISATION),
            HeaderValue::from_str(call.organisation.as_str()).unwrap_or(HeaderValue::from_static("")),
        );
        running.span.pass_on(&mut headers);
        let attempt = call::Call {
            target: running.endpoint.target.clone(),
            attempt: self.worker.draw(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers,
            body,
            timeout: call.times.head_timeout.min(left),
        };
        adapter.send(attempt).await
    }

    pub(super) fn refuses(&self, service: &Service, answer: &Answer) -> bool {
        let adapter = self.worker.adapter(&service.adapter);
        adapter.is_some_and(|adapter| adapter.refuses(answer))
    }

    /// Asks the control thread what became of an endpoint.
    pub(super) async fn ask(&self, running: &Running, failure: &Failure) -> Verdict {
        let (answer, verdict) = oneshot::channel();
        self.worker.shared.control.send(control::Request::Broken {
            endpoint: Arc::clone(&running.endpoint),
            connected: !matches!(failure, Failure::Connect(_)),
            fingerprint: self.call.fingerprint,
            answer,
        });
        match tokio::time::timeout(VERDICT_WAIT, verdict).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Verdict::default(),
        }
    }
}
