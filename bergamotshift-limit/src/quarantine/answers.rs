//! Whole answers, which speak for requests that were running where endpoints died.

use bergamotshift_core::prelude::*;

use super::Completed;
use super::Instance;
use super::Quarantine;
use super::record::Answer;

impl Quarantine {
    /// Records the version of the software of an instance that died, so that answers of others of that version excuse its
    /// death. `None` if it does not state its version: answers then shorten the refusal only, as they may be those of another
    /// version.
    pub fn record_version(&mut self, now: Instant, instance: Instance, version: Option<u64>) {
        self.versions.insert(instance, (now, version));
    }

    /// Returns whether the version of an instance is known.
    pub fn knows_version(&self, instance: &Instance) -> bool {
        self.versions.contains_key(instance)
    }

    /// Excuses deaths after which the same request was answered whole; `completed` contains the fingerprints of requests that
    /// were, by themselves and at versions. Returns whether any was excused.
    ///
    /// Otherwise two endpoints that die of any cause while they run a request of many callers would have it refused to all of
    /// them.
    pub fn apply_answers(&mut self, completed: &Completed) -> bool {
        let mut has_changed = false;
        for (fingerprint, record) in &mut self.records {
            has_changed |= record.apply_answers(|instance| match self.versions.get(instance)? {
                (_, Some(version)) => completed
                    .latest(fingerprint.at_version(*version))
                    .map(Answer::SameVersion),
                (_, None) => completed.contains(*fingerprint).then_some(Answer::AnyVersion),
            });
        }
        has_changed
    }
}
