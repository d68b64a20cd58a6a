//! Refuses requests that could not be answered before the entry stops.

use bergamotshift_forward::observe::Topic;
use bergamotshift_limit::stop;
use slog::info;
use smol_str::SmolStr;

use super::error::Error;
use super::error::Reason;
use crate::exchange::Call;
use crate::worker::Worker;

/// Refuses a request if the entry stops too soon for it.
///
/// # Errors
///
/// Returns the refusal, with which the caller may retry at another entry at once.
pub(super) fn admit(worker: &Worker, call: &Call) -> Result<(), Error> {
    let shared = &worker.shared;
    let Some(stop) = shared.drain.stop() else {
        return Ok(());
    };
    let now = shared.now();
    let request = stop::Request {
        deadline: call.times.deadline,
        expected: shared.drain.expected(&SmolStr::new(call.service.as_str())),
        is_repeatable: call.repeatable,
    };
    stop.admit(now, &request).map_err(|cause| {
        if let Some((logger, left_out)) = shared.refusals.rate_limited(now, Topic::Limit) {
            info!(logger, "request refused by the stop"; "request" => %call.id,
                "service" => call.service.as_str(), "cause" => cause.as_str(),
                "left_ms" => stop.ends().since(now).as_millis() as u64,
                "limit_ms" => request.deadline.since(now).as_millis() as u64,
                "expected_ms" => request.expected.map(|expected| expected.as_millis() as u64),
                "repeatable" => request.is_repeatable, "left_out" => left_out);
        }
        Error::not_run(Reason::Stopping)
    })
}
