//! Requests that are suspected of crashing endpoints, by their whole content or by a part of their prompts.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::quarantine::part;
use slog::info;

use super::Forwarder;
use super::attempt::History;
use super::job::Job;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::dialect::Metadata;
use crate::endpoint::Endpoint;
use crate::observe::Topic;
use crate::view::View;

/// Maximum number of parts of one prompt that are told apart.
const MAX_PARTS: usize = 32;

/// Content of a request by which it may be suspected of crashing endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    /// Fingerprint of the whole request, by which a repetition by the caller is recognised.
    pub(super) fingerprint: Fingerprint,
    /// Parts of its prompt that other requests may share.
    pub(super) parts: Vec<part::Part>,
    /// Whether it runs once to find out whether a part that is refused crashes endpoints.
    pub(super) is_trial: bool,
}

impl Content {
    /// Creates the content of a request to a service. The last part of a prompt is the request's own.
    pub(super) fn new(service: &name::Service, fingerprint: Fingerprint, metadata: &Metadata) -> Self {
        let shared = metadata.parts.len().saturating_sub(1).min(MAX_PARTS);
        let parts = metadata.parts[..shared].iter().zip(0..);
        let part = |(part, depth): (&crate::dialect::Part, u8)| {
            part::Part::new(Fingerprint::of_part(service.as_str(), part.id), depth)
        };
        Self {
            fingerprint,
            parts: parts.map(part).collect(),
            is_trial: false,
        }
    }

    fn part_fingerprints(&self) -> Vec<Fingerprint> {
        self.parts.iter().map(|part| part.fingerprint).collect()
    }
}

/// Returns the refusal of a request that would crash an endpoint.
const fn refusal(retry_after: core::time::Duration) -> Refusal {
    Refusal {
        reason: Reason::Suspect,
        retry_after: Some(retry_after),
    }
}

impl Forwarder {
    /// Refuses a request that is suspected of crashing endpoints, or admits it as a trial of one of its parts.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with the time until the request may be tried again.
    pub(super) fn admit_suspect(&self, view: &View, content: &mut Content, metadata: &Metadata) -> Result<(), Refusal> {
        let now = self.shared.clock.now();
        let whole = view.suspects.verdict(now, content.fingerprint);
        if let quarantine::Verdict::Refused { retry_after } = whole {
            return Err(refusal(retry_after));
        }
        if view.suspect_parts.is_empty() {
            return Ok(());
        }
        let parts = content.part_fingerprints();
        let verdict = view.suspect_parts.verdict(now, &parts);
        let retry_after = match verdict {
            part::Verdict::Clear => return Ok(()),
            part::Verdict::Refused { retry_after } => Some(retry_after),
            part::Verdict::Trial { retry_after } => {
                content.is_trial = view.suspect_parts.claim_trial(now, &parts);
                (!content.is_trial).then_some(retry_after)
            }
        };
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Loss) {
            info!(logger, "request holds a suspected part"; "request" => metadata.id.as_str(),
                "parts" => Metadata::part_ids(&metadata.parts), "trial" => content.is_trial,
                "retry_after_ms" => retry_after.map(|after| after.as_millis() as u64), "left_out" => left_out);
        }
        retry_after.map_or(Ok(()), |after| Err(refusal(after)))
    }

    /// Returns the refusal of a request that became suspected since it was admitted. A trial runs once.
    pub(super) fn refuse_suspect(&self, view: &View, job: &Job, history: &History) -> Option<Refusal> {
        if view.suspects.is_empty() && view.suspect_parts.is_empty() {
            return None;
        }
        let now = self.shared.clock.now();
        let Content {
            fingerprint, is_trial, ..
        } = job.content;
        let retry_after = match view.suspects.verdict(now, fingerprint) {
            quarantine::Verdict::Refused { retry_after } => retry_after,
            _ if is_trial && history.sends == 0 => return None,
            _ => match view.suspect_parts.verdict(now, &job.content.part_fingerprints()) {
                part::Verdict::Clear => return None,
                part::Verdict::Trial { retry_after } | part::Verdict::Refused { retry_after } => retry_after,
            },
        };
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Loss) {
            info!(logger, "request became suspected"; "request" => job.metadata.id.as_str(),
                "parts" => Metadata::part_ids(&job.metadata.parts), "sends" => history.sends, "trial" => is_trial,
                "left_out" => left_out);
        }
        if history.may_have_run() {
            return Some(history.refusal(false));
        }
        Some(refusal(retry_after))
    }

    /// Records that an endpoint answered a request whole, so that the request does not crash endpoints of that version.
    pub(super) fn record_whole(&self, job: &Job, endpoint: &Endpoint) {
        let now = self.shared.clock.now();
        let fingerprint = job.content.fingerprint.at_version(endpoint.version_digest());
        self.shared.completed.record(now, fingerprint);
    }

    /// Records that an endpoint's answer to a request went on long enough to show that its parts crash no endpoint.
    pub(super) fn record_answered(&self, job: &Job) {
        let now = self.shared.clock.now();
        for part in &job.content.parts {
            self.shared.answered.record(now, part.fingerprint);
        }
    }
}
