//! Refuses requests that must not start and chooses the endpoint of an attempt.

use core::time::Duration;
use std::borrow::Cow;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::engine::version::Version;
use bergamotshift_limit::quarantine;
use bergamotshift_rollout::origin::Wanted;
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

/// Timeout for a request that has started an attempt to find an endpoint when none is left.
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for a suspected request to find an endpoint that runs no other suspected request.
///
/// A request that crashes endpoints does so soon and is refused afterwards, so the suspected requests that share an
/// endpoint after this time are harmless.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two tries to choose an endpoint while none is available.
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Attempts {
    /// Refuses a request whose deadline has passed or that is quarantined.
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

    /// Chooses an endpoint and counts the attempt there, or waits and returns `None` if none is available yet.
    pub(super) async fn choose(&mut self, snapshot: &Snapshot, service: &Service) -> Result<Option<Running>, Error> {
        let now = self.worker.shared.now();
        let isolate = self.must_isolate(snapshot, now);
        let exclude = excluded(snapshot, &self.tried, isolate);
        let has_occupied = exclude.len() > self.tried.len();
        match self.start_wanted(snapshot, service, now, &exclude, isolate) {
            Ok(running) => Ok(running),
            Err(Refusal::NoEndpoint) if has_occupied => {
                self.isolation_polls += 1;
                tokio::time::sleep(ENDPOINT_POLL_INTERVAL).await;
                Ok(None)
            }
            Err(Refusal::Deferred { until }) => {
                let until = until.min(self.call.times.deadline);
                tokio::time::sleep(until.since(now).max(ENDPOINT_POLL_INTERVAL)).await;
                Ok(None)
            }
            Err(Refusal::NoEndpoint) if !self.tried.is_empty() => {
                // All endpoints were tried. A failed one may have recovered, so they are tried again.
                self.tried.clear();
                Ok(None)
            }
            // Its caller can start over at another version at once.
            Err(Refusal::NoEndpoint) if self.has_other_versions(snapshot, now) => Err(Error::Diverged),
            Err(Refusal::NoEndpoint) => {
                let waited = ENDPOINT_POLL_INTERVAL.saturating_mul(self.endpoint_polls);
                if self.started == 0 || waited >= ENDPOINT_TIMEOUT {
                    return Err(Error::NoEndpoint);
                }
                self.endpoint_polls += 1;
                tokio::time::sleep(ENDPOINT_POLL_INTERVAL).await;
                Ok(None)
            }
        }
    }

    /// Chooses another endpoint than `silent` for an attempt beside the one there, and counts the attempt.
    pub(super) fn choose_beside(
        &self,
        snapshot: &Snapshot,
        service: &Service,
        silent: key::Endpoint,
    ) -> Option<Running> {
        let now = self.worker.shared.now();
        let isolate = self.must_isolate(snapshot, now);
        let mut tried = self.tried.clone();
        tried.push(silent);
        let choose = |tried: &[key::Endpoint]| {
            let exclude = excluded(snapshot, tried, isolate);
            self.start_wanted(snapshot, service, now, &exclude, isolate)
        };
        // If all others were tried, a failed one may have recovered.
        choose(&tried).or_else(|_| choose(&[silent])).ok().flatten()
    }

    /// Chooses an endpoint that may go on what began, and counts the attempt there. Endpoints that stated the version lately
    /// come first, then those that stated none.
    fn start_wanted(
        &self,
        snapshot: &Snapshot,
        service: &Service,
        now: Instant,
        exclude: &[key::Endpoint],
        isolate: bool,
    ) -> Result<Option<Running>, Refusal> {
        if self.wanted() == Wanted::Any {
            return self.try_start(snapshot, service, now, exclude, isolate);
        }
        let start = |is_excluded: fn(Option<bool>) -> bool| {
            let others = self.own_endpoints(snapshot, now);
            let others = others.filter(|(_, is_wanted)| is_excluded(*is_wanted));
            let exclude: Vec<_> = exclude.iter().copied().chain(others.map(|(key, _)| key)).collect();
            self.try_start(snapshot, service, now, &exclude, isolate)
        };
        start(|is_wanted| is_wanted != Some(true)).or_else(|_| start(|is_wanted| is_wanted == Some(false)))
    }

    /// Returns whether an endpoint of the service stated lately that it cannot go on what began.
    fn has_other_versions(&self, snapshot: &Snapshot, now: Instant) -> bool {
        let mut endpoints = self.own_endpoints(snapshot, now);
        endpoints.any(|(_, is_wanted)| is_wanted == Some(false))
    }

    /// Returns the service's endpoints, with whether each stated lately that it can go on what began.
    fn own_endpoints<'a>(
        &'a self,
        snapshot: &'a Snapshot,
        now: Instant,
    ) -> impl Iterator<Item = (key::Endpoint, Option<bool>)> + 'a {
        let wanted = self.wanted();
        let endpoints = snapshot.endpoints.iter();
        let endpoints = endpoints.filter(|(_, endpoint)| endpoint.service == self.call.service);
        endpoints.map(move |(key, endpoint)| {
            let is_wanted = |version: &Version| wanted.admits(version, false);
            (key, endpoint.statement.is_wanted(now, is_wanted))
        })
    }

    /// Chooses an endpoint and counts the attempt there; returns `None` if another request took the endpoint first.
    fn try_start(
        &self,
        snapshot: &Snapshot,
        service: &Service,
        now: Instant,
        exclude: &[key::Endpoint],
        isolate: bool,
    ) -> Result<Option<Running>, Refusal> {
        let (choice, guard) = self.try_choose(snapshot, service, now, exclude)?;
        let Some(endpoint) = snapshot.endpoints.get(choice.key) else {
            return Ok(None);
        };
        let seat = if isolate {
            endpoint.isolation.try_acquire()
        } else {
            None
        };
        // Another suspected request may have taken the endpoint first; the next try excludes that endpoint.
        Ok((seat.is_some() || !isolate).then(|| Running {
            endpoint: Arc::clone(endpoint),
            key: choice.key,
            span: Span::default(),
            _guard: guard,
            _seat: seat,
        }))
    }

    /// Returns whether the request is suspected and has not yet waited [`ISOLATION_TIMEOUT`] for an endpoint without
    /// another suspected request.
    fn must_isolate(&self, snapshot: &Snapshot, now: Instant) -> bool {
        !snapshot.quarantine.is_empty()
            && snapshot.quarantine.verdict(now, self.call.fingerprint) == quarantine::Verdict::Alone
            && ENDPOINT_POLL_INTERVAL.saturating_mul(self.isolation_polls) < ISOLATION_TIMEOUT
    }

    /// Chooses an endpoint by the routing policy and records the attempt there.
    fn try_choose(
        &self,
        snapshot: &Snapshot,
        service: &Service,
        now: Instant,
        exclude: &[key::Endpoint],
    ) -> Result<(Choice, flight::Guard), Refusal> {
        let call = &self.call;
        let request = Request {
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
            .with_generator(|generator| policy.choose(&snapshot.view, &request, generator))?;
        let guard = snapshot.view.record_sent(&choice, &request);
        Ok((choice, guard))
    }
}

/// Returns the endpoints that were tried and, for a request to be isolated, those that run a suspected request.
fn excluded<'a>(snapshot: &Snapshot, tried: &'a [key::Endpoint], isolate: bool) -> Cow<'a, [key::Endpoint]> {
    let mut exclude = Cow::Borrowed(tried);
    if isolate {
        let endpoints = snapshot.endpoints.iter();
        let occupied = endpoints.filter(|(_, endpoint)| endpoint.isolation.is_acquired());
        exclude.to_mut().extend(occupied.map(|(key, _)| key));
    }
    exclude
}
