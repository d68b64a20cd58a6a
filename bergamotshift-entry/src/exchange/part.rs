//! Beginnings of prompts by which requests are suspected of crashing endpoints.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine::part;

use super::Attempts;
use super::Call;
use super::Error;
use super::attempts::Running;
use crate::snapshot::Snapshot;

impl Call {
    /// Returns the beginnings of its prompt of 1, 2, 4, 8 and so on blocks: enough to find what prompts have in common, and
    /// few for long ones.
    pub fn parts(&self) -> Vec<part::Part> {
        let beginnings = self.work.prefix.iter().zip(1_usize..);
        let sampled = beginnings.filter(|(_, blocks)| blocks.is_power_of_two());
        let part = |((hash, _), depth): ((&u64, usize), u8)| {
            part::Part::new(Fingerprint::of_part(self.service.as_str(), *hash), depth)
        };
        sampled.zip(0..).map(part).collect()
    }
}

impl Attempts {
    /// Refuses a request whose prompt begins with a part that crashes endpoints, except for trials.
    pub(super) fn admit_parts(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        if snapshot.parts.is_empty() {
            return Ok(());
        }
        let now = self.worker.shared.now();
        let parts: Vec<_> = self.call.parts().iter().map(|part| part.fingerprint).collect();
        let is_first = self.started == 0;
        match snapshot.parts.verdict(now, &parts) {
            part::Verdict::Clear => Ok(()),
            part::Verdict::Trial { .. } if is_first && self.is_trial => Ok(()),
            part::Verdict::Trial { retry_after } => {
                self.is_trial = is_first && snapshot.parts.claim_trial(now, &parts);
                if self.is_trial {
                    return Ok(());
                }
                Err(Error::Quarantined { retry_after })
            }
            part::Verdict::Refused { retry_after } => Err(Error::Quarantined { retry_after }),
        }
    }

    /// Records that the answer went on long enough to show that the prompt crashes no endpoint.
    pub fn record_answered(&mut self) {
        if self.is_settled {
            return;
        }
        self.is_settled = true;
        let shared = &self.worker.shared;
        for part in self.call.parts() {
            shared.answered.record(shared.now(), part.fingerprint);
        }
    }

    /// Records that an endpoint answered the request whole, so that the request does not crash endpoints of that version.
    pub(super) fn record_whole(&self, running: &Running) {
        let shared = &self.worker.shared;
        let now = shared.now();
        let fingerprint = self.call.fingerprint;
        shared.completed.record(now, fingerprint);
        if let Some(version) = running.endpoint.statement.digest(now) {
            shared.completed.record(now, fingerprint.at_version(version));
        }
    }

    /// Returns the parts that a failed attempt accuses.
    pub(super) fn suspects(&self) -> Vec<part::Part> {
        if self.is_settled { Vec::new() } else { self.call.parts() }
    }
}
