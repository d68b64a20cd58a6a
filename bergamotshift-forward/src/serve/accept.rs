//! Admits connections of callers, and closes those that are too many.

use std::io;

use ntex::io::IoRef;
use slog::info;

use super::Forwarder;
use super::callers::Admission;
use crate::observe::Topic;

impl Forwarder {
    /// Returns the maximum number of callers' connections.
    pub fn max_callers(&self) -> usize {
        self.shared.settings.max_callers()
    }

    /// Logs that a caller's connection was not accepted.
    pub fn log_not_accepted(&self, cause: &io::Error) {
        let now = self.shared.clock.now();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Limit) {
            info!(logger, "no caller accepted"; "cause" => %cause, "left_out" => left_out);
        }
    }

    /// Admits a caller's connection, or closes it or an idle one if there are too many.
    pub fn admit_connection(&self, connection: &IoRef) {
        let admission = self.callers.admit(connection, self.shared.settings.max_callers());
        if admission == Admission::Free {
            return;
        }
        self.shared.metrics.intake.closed.inc();
        let now = self.shared.clock.now();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Limit) {
            info!(logger, "too many connections of callers"; "most" => self.shared.settings.max_callers(),
                "closed" => if admission == Admission::Refused { "new" } else { "idle" }, "left_out" => left_out);
        }
    }
}
