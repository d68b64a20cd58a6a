//! Turns a request away that must not start, and chooses the endpoint of its next attempt.

use core::time::Duration;
use std::borrow::Cow;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine;
use bergamotshift_route::Choice;
use bergamotshift_route::Refusal;
use bergamotshift_route::Request;
use bergamotshift_route::flight;

use super::Error;
use super::attempts::Attempts;
use super::attempts::BLOCK_TOKENS;
use super::attempts::Running;
use crate::observe::Span;
use crate::snapshot::Service;
use crate::snapshot::Snapshot;

/// How long a request that was accepted waits for an endpoint to turn up when all are gone.
const ENDPOINT_WAIT: Duration = Duration::from_secs(5);

/// How long a suspected request waits for an endpoint that runs no other suspect.
///
/// A guilty one kills its endpoint soon and is refused then, so what goes on together after this time is innocent.
const APART_WAIT: Duration = Duration::from_secs(2);

/// The time between two looks for an endpoint while none is there.
const ENDPOINT_LOOK: Duration = Duration::from_millis(20);

impl Attempts {
    /// Turns away what must not start: too late, or under quarantine.
    pub(super) fn admit(&self, snapshot: &Snapshot) -> Result<(), Error> {
        let now = self.worker.shared.now();
        if now >= self.call.times.deadline {
            return Err(Error::Deadline);
        }
        if snapshot.quarantine.is_empty() {
            return Ok(());
        }
        match snapshot.quarantine.verdict(now, self.call.fingerprint) {
            quarantine::Verdict::Refused { retry_after } => Err(Error::Quarantined { retry_after }),
            quarantine::Verdict::Clear | quarantine::Verdict::Alone => Ok(()),
        }
    }

    /// Chooses an endpoint and counts the attempt there, or waits a little when there is none.
    pub(super) async fn choose(&mut self, snapshot: &Snapshot, service: &Service) -> Result<Option<Running>, Error> {
        let now = self.worker.shared.now();
        let apart = self.is_apart(snapshot, now);
        let mut exclude = Cow::Borrowed(self.tried.as_slice());
        if apart {
            let taken = snapshot
                .endpoints
                .iter()
                .filter(|(_, endpoint)| endpoint.seat.is_taken());
            exclude.to_mut().extend(taken.map(|(key, _)| key));
        }
        let crowded = exclude.len() > self.tried.len();
        match self.try_choose(snapshot, service, now, &exclude) {
            Ok((choice, guard)) => {
                let Some(endpoint) = snapshot.endpoints.get(choice.key) else {
                    return Ok(None);
                };
                let seat = if apart { endpoint.seat.take() } else { None };
                // Another suspect may have been quicker; the next look sees it there.
                Ok((seat.is_some() || !apart).then(|| Running {
                    endpoint: Arc::clone(endpoint),
                    key: choice.key,
                    span: Span::default(),
                    _guard: guard,
                    _seat: seat,
                }))
            }
            Err(Refusal::NoEndpoint) if crowded => {
                self.crowded += 1;
                tokio::time::sleep(ENDPOINT_LOOK).await;
                Ok(None)
            }
            Err(Refusal::Deferred { until }) => {
                let until = until.min(self.call.times.deadline);
                tokio::time::sleep(until.since(now).max(ENDPOINT_LOOK)).await;
                Ok(None)
            }
            Err(Refusal::NoEndpoint) if !self.tried.is_empty() => {
                // All were tried. One that failed may have come back, so it is better than none.
                self.tried.clear();
                Ok(None)
            }
            Err(Refusal::NoEndpoint) => {
                let waited = ENDPOINT_LOOK.saturating_mul(self.lost);
                if self.made == 0 || waited >= ENDPOINT_WAIT {
                    return Err(Error::NoEndpoint);
                }
                self.lost += 1;
                tokio::time::sleep(ENDPOINT_LOOK).await;
                Ok(None)
            }
        }
    }

    /// Returns whether the request is suspected, and has not yet waited too long for an endpoint without a suspect.
    fn is_apart(&self, snapshot: &Snapshot, now: Instant) -> bool {
        !snapshot.quarantine.is_empty()
            && snapshot.quarantine.verdict(now, self.call.fingerprint) == quarantine::Verdict::Alone
            && ENDPOINT_LOOK.saturating_mul(self.crowded) < APART_WAIT
    }

    fn try_choose(
        &self,
        snapshot: &Snapshot,
        service: &Service,
        now: Instant,
        exclude: &[key::Endpoint],
    ) -> Result<(Choice, flight::Guard), Refusal> {
        let call = &self.call;
        let ask = Request {
            now,
            service: service.number,
            zones: snapshot.zones_for(service, &call.organisation),
            classes: service.classes,
            urgency: call.urgency,
            first_token: call.times.first_token,
            between_tokens: call.times.between_tokens,
            deadline: call.times.deadline,
            prompt_tokens: call.work.prompt_tokens,
            answer_tokens: call.work.answer_tokens,
            prefix: &call.work.prefix,
            block_tokens: BLOCK_TOKENS,
            exclude,
            ..Request::default()
        };
        let policy = &self.worker.shared.policy;
        let choice = self
            .worker
            .with_generator(|generator| policy.choose(&snapshot.view, &ask, generator))?;
        let guard = snapshot.view.record_sent(&choice, &ask);
        Ok((choice, guard))
    }
}
