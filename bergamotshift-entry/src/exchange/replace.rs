//! Attempts that are sent beside a silent one.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::call;
use bergamotshift_limit::retry;
use bergamotshift_limit::retry::Decision;
use bergamotshift_limit::silence::Census;
use bergamotshift_limit::silence::Extent;
use ntex::util::Bytes;

use super::Open;
use super::attempts::Attempts;
use super::attempts::Running;
use crate::snapshot::Service;
use crate::snapshot::Snapshot;

/// Answer of an attempt beside a silent one.
#[derive(Debug)]
pub(super) struct Beside {
    pub(super) open: Open,
    /// Time by which its first event has to arrive.
    pub(super) begin_by: Instant,
}

impl Attempts {
    /// Returns whether most of the service's endpoints that answer this entry's requests are silent.
    pub(super) fn silence_extent(&self, now: Instant) -> Extent {
        let snapshot = self.worker.snapshot();
        let limit = self.call.times.stall_timeout / 2;
        let pulses = snapshot.pulses.get(&self.call.service).into_iter().flatten();
        let silences = pulses.filter_map(|pulse| pulse.silence(now));
        silences.map(|silence| silence >= limit).collect::<Census>().extent()
    }

    /// Returns whether a failure is a silence that most endpoints share, which is no sign that this one is faulty.
    pub(super) fn is_common(&self, failure: &Failure) -> bool {
        *failure == Failure::Timeout && self.silence_extent(self.worker.shared.now()) == Extent::Common
    }

    /// Sends an attempt beside the one at `silent` and waits for its head, for the time `overlap` if that is bounded.
    ///
    /// Returns `None` if no attempt can be sent or it fails. A withdrawal from the retry budget is given back if nothing
    /// was sent.
    pub(super) async fn open_beside(
        &mut self,
        silent: key::Endpoint,
        body: Bytes,
        overlap: Option<Duration>,
    ) -> Option<Beside> {
        let snapshot = self.worker.snapshot();
        let service = snapshot.services.get(&self.call.service)?;
        let mut running = self.withdraw_beside(&snapshot, service, silent)?;
        self.started += 1;
        self.is_settled = false;
        running.span = self.span(&running);
        service.metrics.attempts.inc();
        service.metrics.retried(retry::Failure::Timeout);
        let times = self.call.times;
        let bound = overlap.unwrap_or_else(|| times.head_timeout.max(times.stall_timeout));
        let begin_by = (self.worker.shared.now() + bound).min(times.deadline);
        self.tried.push(running.key);
        let outgoing = if body.is_empty() {
            call::Body::Empty
        } else {
            call::Body::Buffered(body)
        };
        match tokio::time::timeout(bound, self.send(service, &running, outgoing)).await {
            Ok(Ok(answer)) if self.is_refusal(service, &answer) => {
                running.span.failed(&"refused");
                service.metrics.refused.inc();
                None
            }
            Ok(Ok(answer)) => {
                running.span.note("status", &answer.status.as_u16());
                let open = Open { answer, running };
                Some(Beside { open, begin_by })
            }
            Ok(Err(failure)) => {
                if matches!(failure, Failure::Connect(_)) {
                    self.started -= 1;
                    service.budget.refund();
                }
                self.drop_beside(running, &failure);
                None
            }
            Err(_) => {
                running.span.failed(&"no answer in time beside another attempt");
                None
            }
        }
    }

    /// Reports the failure of an attempt beside another one.
    pub(super) fn drop_beside(&self, mut running: Running, failure: &Failure) {
        running.span.failed(failure);
        self.report_replaced(&running, failure);
    }

    /// Reports an attempt that failed or was replaced, without waiting for a verdict.
    pub(super) fn report_replaced(&self, running: &Running, failure: &Failure) {
        let snapshot = self.worker.snapshot();
        if let Some(service) = snapshot.services.get(&self.call.service) {
            service.metrics.broken.inc();
        }
        if !self.is_common(failure) {
            drop(self.report(running, failure));
        }
    }

    /// Withdraws from the retry budget and chooses another endpoint than `silent`.
    fn withdraw_beside(&mut self, snapshot: &Snapshot, service: &Service, silent: key::Endpoint) -> Option<Running> {
        if self.admit(snapshot).is_err() || self.admit_parts(snapshot).is_err() {
            return None;
        }
        let now = self.worker.shared.now();
        let decision = self.worker.with_generator(|generator| {
            let kind = retry::Failure::Timeout;
            service
                .retry
                .decide(now, self.retry_request(), kind, &service.budget, generator)
        });
        if !matches!(decision, Decision::Retry(_)) {
            return None;
        }
        let running = self.choose_beside(snapshot, service, silent);
        if running.is_none() {
            service.budget.refund();
        }
        running
    }
}
