//! Parts of prompts that are suspected of crashing endpoints: those lost with endpoints here, and those that other entries
//! know.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine::part;
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::Control;
use super::inner::Inner;
use super::inner::instance;
use crate::endpoint::Endpoint;
use crate::observe::Topic;
use crate::view::Shared;

/// Change of the time until which a part is refused that is not worth publishing: ages from other entries vary by the time
/// that their messages take.
const TOLERANCE: Duration = Duration::from_secs(1);

impl Control {
    /// Records that an endpoint died at `at` with requests that hold these parts and whose answers had not begun;
    /// `is_confirmed` is whether that cannot be a cut.
    pub fn parts_lost(&self, endpoint: u64, at: Instant, parts: &[part::Part], is_confirmed: bool) {
        if parts.is_empty() {
            return;
        }
        let mut inner = self.inner.borrow_mut();
        if let Some(endpoint) = inner.directory.by_hash(endpoint).cloned() {
            inner.record_lost_parts(self.now(), &self.shared, &endpoint, at, parts, is_confirmed);
        }
    }
}

impl Inner {
    fn record_lost_parts(
        &mut self,
        now: Instant,
        shared: &Shared,
        endpoint: &Endpoint,
        at: Instant,
        parts: &[part::Part],
        is_confirmed: bool,
    ) {
        self.quarantine
            .record_lost_parts(at, &instance(endpoint), parts, is_confirmed);
        self.update_parts(now, shared, "death");
    }

    /// Merges the evidence of another entry on parts.
    pub(super) fn merge_parts(&mut self, now: Instant, shared: &Shared, suspicions: &[part::Suspicion], from: &str) {
        if suspicions.is_empty() {
            return;
        }
        self.quarantine.merge_parts(now, suspicions);
        self.update_parts(now, shared, from);
    }

    /// Returns the verdicts on parts for this entry's threads.
    pub(super) fn part_table(&mut self, shared: &Shared) -> part::Table {
        self.quarantine.part_table(part::Entry {
            hash: xxh3_64(shared.settings.name.as_str().as_bytes()),
            count: self.members.count(),
        })
    }

    /// Clears parts that were answered, and publishes and logs which ones are refused since the last call, or no longer.
    pub(super) fn update_parts(&mut self, now: Instant, shared: &Shared, from: &str) {
        self.quarantine.clear_answered_parts(&shared.answered);
        let refused: BTreeMap<Fingerprint, Instant> = self.part_table(shared).refused().collect();
        shared.metrics.suspected_parts.set(self.quarantine.part_count() as i64);
        shared.metrics.refused_parts.set(refused.len() as i64);
        let is_published = |part: &Fingerprint, until: Instant| {
            let before = self.refused_parts.get(part);
            before.is_some_and(|before| until.since(*before).max(before.since(until)) < TOLERANCE)
        };
        let mut changed = refused.clone();
        changed.retain(|part, until| !is_published(part, *until));
        let mut admitted = self.refused_parts.clone();
        admitted.retain(|part, _| !refused.contains_key(part));
        if changed.is_empty() && admitted.is_empty() {
            return;
        }
        for (part, until) in &changed {
            self.log_part(now, shared, *part, Some(*until), from);
        }
        for part in admitted.keys() {
            self.log_part(now, shared, *part, None, from);
            self.refused_parts.remove(part);
        }
        self.refused_parts.extend(changed);
        self.publish(shared);
    }

    /// Logs that a part is refused until a time, or no longer.
    fn log_part(&self, now: Instant, shared: &Shared, part: Fingerprint, until: Option<Instant>, from: &str) {
        let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) else {
            return;
        };
        let tally = self.quarantine.part_tally(part);
        info!(logger, "suspicion of a part changed"; "part" => format!("{:032x}", part.get()),
            "verdict" => if until.is_some() { "refused" } else { "admitted" },
            "refused_ms" => until.map(|until| until.since(now).as_millis() as u64), "from" => from,
            "deaths" => tally.deaths, "answered" => tally.is_answered, "left_out" => left_out);
    }
}
