//! Reports requests whose connections to endpoints broke.

use super::Forwarder;
use super::job::Job;
use crate::endpoint::Endpoint;
use crate::exchange::Failure;
use crate::peers::Loss;
use crate::peers::Note;

impl Forwarder {
    /// Lets the control thread find out whether an endpoint died, if the connection with a request broke; `has_begun` is
    /// whether the endpoint had begun to answer.
    pub(super) fn report_broken(&self, job: &Job, endpoint: &Endpoint, failure: &Failure, has_begun: bool) {
        if !matches!(failure, Failure::Broken(_)) {
            return;
        }
        let _ = self.shared.notes.send(Note::ConnectionLost(Loss {
            endpoint: endpoint.hash,
            request: job.metadata.id.clone(),
            fingerprint: job.content.fingerprint,
            parts: job.metadata.parts.clone(),
            suspects: job.content.parts.clone(),
            has_begun,
            at: self.shared.clock.now(),
        }));
    }
}
