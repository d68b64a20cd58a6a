//! Refuses requests that could not be answered before the entry stops.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::stop;
use bergamotshift_limit::stop::Cause;
use slog::info;

use super::Forwarder;
use super::attempt::History;
use super::job::Job;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::document::Route;
use crate::observe::Topic;

impl Forwarder {
    /// Refuses a request that arrived if the entry stops too soon for it.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with which the caller may retry at another entry at once.
    pub(super) fn admit_while_stopping(&self, route: &Route, id: &str, deadline: Instant) -> Result<(), Refusal> {
        let Some(stop) = self.shared.drain.stop() else {
            return Ok(());
        };
        let now = self.shared.clock.now();
        let request = self.stop_request(route, deadline);
        stop.admit(now, &request).map_err(|cause| {
            self.log_refused_by_stop(now, route, id, &request, cause);
            Reason::Stopping.into()
        })
    }

    /// Returns the refusal of a request that was accepted and is not sent any more, since the entry stops too soon for it.
    ///
    /// A stream that its caller has part of is always sent on: refused, it would be cut at once.
    pub(super) fn refuse_while_stopping(&self, job: &Job, history: &History) -> Option<Refusal> {
        let stop = self.shared.drain.stop()?;
        if history.pace.last_event().is_some() {
            return None;
        }
        let now = self.shared.clock.now();
        let request = self.stop_request(&job.route, job.deadline);
        let cause = stop.begin(now, &request).err()?;
        self.log_refused_by_stop(now, &job.route, &job.metadata.id, &request, cause);
        Some(if history.may_have_run() {
            history.refusal(false)
        } else {
            Reason::Stopping.into()
        })
    }

    fn stop_request(&self, route: &Route, deadline: Instant) -> stop::Request {
        stop::Request {
            deadline,
            expected: self.shared.drain.expected(&route.name),
            is_repeatable: route.is_repeatable(),
        }
    }

    fn log_refused_by_stop(&self, now: Instant, route: &Route, id: &str, request: &stop::Request, cause: Cause) {
        if let (Some((logger, left_out)), Some(stop)) = (
            self.shared.log.rate_limited(now, Topic::Limit),
            self.shared.drain.stop(),
        ) {
            info!(logger, "request refused by the stop"; "request" => id, "route" => route.name.as_str(),
                "cause" => cause.as_str(), "left_ms" => stop.ends().since(now).as_millis() as u64,
                "limit_ms" => request.deadline.since(now).as_millis() as u64,
                "expected_ms" => request.expected.map(|expected| expected.as_millis() as u64),
                "repeatable" => request.is_repeatable, "document" => self.document_version(), "left_out" => left_out);
        }
    }
}
