//! Attempts whose endpoint falls silent.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::silence;
use bergamotshift_limit::silence::Action;
use bergamotshift_limit::silence::Census;
use bergamotshift_limit::silence::Extent;
use bergamotshift_limit::silence::Path;
use bergamotshift_limit::silence::Watch;
use slog::info;

use super::Forwarder;
use super::job::Job;
use crate::endpoint::Endpoint;
use crate::endpoint::Guard;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::observe::Topic;
use crate::relay;
use crate::view::Shared;

/// Timeout for the connection that checks the path to an endpoint.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

impl Forwarder {
    /// Creates a watch over an attempt whose silence is normal up to `limit`.
    pub(super) fn watch(&self, limit: Duration) -> Watch {
        Watch::new(silence::Settings::default(), limit, self.shared.clock.now())
    }

    /// Decides what to do about an attempt at an endpoint that may be silent, and has the path to the endpoint checked.
    pub(super) fn watch_attempt(&self, job: &Job, watch: &Watch, endpoint: &Arc<Endpoint>) -> Action {
        let now = self.shared.clock.now();
        let ttl = watch.settings().check_ttl;
        if now >= watch.check_at() && endpoint.pulse.claim_check(now, watch.heard(), ttl) {
            let check = check_path(
                Arc::clone(&self.shared),
                Arc::clone(endpoint),
                job.metadata.id.clone(),
                now,
            );
            ntex::rt::spawn(check);
        }
        watch.decide(
            now,
            endpoint.pulse.path(watch.heard()),
            self.silence_extent(job, watch.limit()),
        )
    }

    /// Records that a silent attempt is given up for its replacement.
    pub(super) fn give_up(&self, job: &Job, guard: &mut Guard) {
        self.shared.metrics.count_given_up(Failure::Silent.name());
        if self.is_endpoints_failure(job, &Failure::Silent) {
            guard.record_failure();
        }
    }

    /// Returns whether a failure counts against its endpoint and its version. Silence of most endpoints together does not.
    pub(super) fn is_endpoints_failure(&self, job: &Job, failure: &Failure) -> bool {
        *failure != Failure::Silent || self.silence_extent(job, job.silence_limit()) == Extent::Single
    }

    /// Returns whether most endpoints of the request's service are silent together.
    fn silence_extent(&self, job: &Job, limit: Duration) -> Extent {
        let now = self.shared.clock.now();
        let view = self.shared.view.load();
        let Some(service) = view.services.get(&job.service) else {
            return Extent::Single;
        };
        let silences = service
            .all_endpoints()
            .filter_map(|endpoint| endpoint.pulse.silence(now));
        silences
            .map(|silence| silence >= limit / 2)
            .collect::<Census>()
            .extent()
    }
}

/// Checks whether an endpoint that is silent since before `began` accepts a connection, directly or through another entry,
/// and records the outcome.
async fn check_path(shared: Arc<Shared>, endpoint: Arc<Endpoint>, request: smol_str::SmolStr, began: Instant) {
    let service = &endpoint.registration.service;
    shared.metrics.connections.inc();
    let cause = if shared.reach.is_cut_off(service) {
        let opened = relay::open(&shared, &endpoint, &request, CHECK_TIMEOUT).await;
        opened.err().map(|error| error.to_string())
    } else {
        let opened = Connection::open(endpoint.registration.address, CHECK_TIMEOUT).await;
        opened.err().map(|error| error.to_string())
    };
    let is_registered = shared.view.load().endpoint(endpoint.hash).is_some();
    let path = match (&cause, is_registered) {
        (None, _) => Path::Reached,
        (Some(_), true) => Path::Unreached,
        (Some(_), false) => Path::Gone,
    };
    let now = shared.clock.now();
    if path != Path::Reached {
        endpoint.health.record_unreachable(now);
        shared.record_unreached(&endpoint);
    }
    endpoint.pulse.record_path(began, path);
    if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) {
        info!(logger, "path to a silent endpoint"; "request" => request.as_str(),
            "endpoint" => endpoint.registration.id.as_str(), "path" => path.as_str(), "cause" => cause,
            "ms" => now.since(began).as_millis() as u64, "left_out" => left_out);
    }
}
