//! Attempts whose endpoint falls silent.

use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::silence;
use bergamotshift_limit::silence::Action;
use bergamotshift_limit::silence::Census;
use bergamotshift_limit::silence::Extent;
use bergamotshift_limit::silence::Path;
use bergamotshift_limit::silence::Watch;
use ntex::http::HeaderMap;
use slog::info;
use smol_str::SmolStr;

use super::Forwarder;
use super::job::Job;
use crate::endpoint::Endpoint;
use crate::endpoint::Guard;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::observe::Topic;
use crate::relay;

/// Timeout for the connection that checks the path to an endpoint.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

impl Forwarder {
    /// Creates a watch over an attempt whose silence is normal up to `limit`.
    pub(super) fn watch(&self, limit: Duration) -> Watch {
        Watch::new(silence::Settings::default(), limit, self.shared.clock.now())
    }

    /// Decides what to do about an attempt at an endpoint that may be silent; with `checks`, has the path to the endpoint
    /// checked.
    pub(super) fn watch_attempt(
        self: &Rc<Self>,
        job: &Job,
        watch: &Watch,
        endpoint: &Arc<Endpoint>,
        checks: bool,
    ) -> Action {
        let now = self.shared.clock.now();
        if now < watch.check_at() {
            return watch.decide(now, Path::Unknown, Extent::Single);
        }
        let ttl = watch.settings().check_ttl;
        if checks && endpoint.pulse.claim_check(now, watch.heard(), ttl) {
            let check = Rc::clone(self).check_path(Arc::clone(endpoint), job.metadata.id.clone(), now);
            ntex::rt::spawn(check);
        }
        let path = match endpoint.pulse.path(watch.heard()) {
            // Its registration is back.
            Path::Gone if self.shared.view.load().endpoint(endpoint.hash).is_some() => Path::Unreached,
            path => path,
        };
        watch.decide(now, path, self.silence_extent(job, watch.limit()))
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

    /// Checks whether an endpoint that is silent since before `began` accepts a connection, directly or through another
    /// entry, and records the outcome. The connection is kept for the next request.
    async fn check_path(self: Rc<Self>, endpoint: Arc<Endpoint>, request: SmolStr, began: Instant) {
        let shared = &self.shared;
        let opened = if shared.reach.is_cut_off(&endpoint.registration.service) {
            let opened = relay::open(shared, &endpoint, &request, CHECK_TIMEOUT).await;
            opened.map_err(|error| error.to_string())
        } else {
            shared.metrics.connections.inc();
            let opened = Connection::open(endpoint.registration.address, CHECK_TIMEOUT).await;
            opened.map_err(|error| {
                endpoint.health.record_unreachable(shared.clock.now());
                error.to_string()
            })
        };
        let is_registered = shared.view.load().endpoint(endpoint.hash).is_some();
        let (path, cause) = match opened {
            Ok(connection) => {
                self.keep_connection(&endpoint, connection, &HeaderMap::new());
                (Path::Reached, None)
            }
            Err(cause) if is_registered => (Path::Unreached, Some(cause)),
            Err(cause) => (Path::Gone, Some(cause)),
        };
        let now = shared.clock.now();
        endpoint.pulse.record_path(began, path);
        if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) {
            info!(logger, "path to a silent endpoint"; "request" => request.as_str(),
                "endpoint" => endpoint.registration.id.as_str(), "path" => path.as_str(), "cause" => cause,
                "ms" => now.since(began).as_millis() as u64, "left_out" => left_out);
        }
    }
}
