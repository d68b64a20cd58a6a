//! Beginnings of prompts that are suspected of crashing endpoints: those lost with endpoints here, and those that other
//! entries announce.

use core::time::Duration;
use std::hash::BuildHasher;
use std::hash::RandomState;

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::note;
use bergamotshift_limit::quarantine::Attribution;
use bergamotshift_limit::quarantine::part;
use slog::warn;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::State;
use super::state::Due;
use crate::peers::Request;
use crate::snapshot::Endpoint;

/// Interval at which evidence on parts is announced while there is any.
const INTERVAL: Duration = Duration::from_millis(250);

/// Number that distinguishes this process's announcements of answers from those of others.
#[derive(Clone, Copy, Debug)]
pub struct Origin(u64);

impl Default for Origin {
    fn default() -> Self {
        Self(RandomState::new().hash_one(0))
    }
}

/// State of the announcements.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcer {
    origin: Origin,
    last: Instant,
    /// Parts that were refused at the last snapshot.
    refused: Vec<Fingerprint>,
}

impl State {
    /// Records that an endpoint ended with a request whose prompt has these parts; `is_confirmed` is whether that cannot be
    /// something on the path.
    pub(super) fn record_lost_parts(&mut self, endpoint: &Endpoint, parts: &[part::Part], is_confirmed: bool) {
        let instance = self.fleet.find(endpoint).map(|record| record.instance());
        let Some(instance) = instance.filter(|_| !parts.is_empty()) else {
            return;
        };
        let now = self.shared.now();
        self.quarantine.record_lost_parts(now, &instance, parts, is_confirmed);
        self.share_parts();
        self.schedule(Due::Now);
    }

    /// Merges another entry's evidence on a part.
    pub(super) fn handle_part_note(&mut self, note: &note::Note) {
        let mut suspicion = match postcard::from_bytes::<part::Suspicion>(&note.body) {
            Ok(suspicion) => suspicion,
            Err(error) => {
                warn!(self.shared.settings.logger, "evidence on a part cannot be decoded"; "error" => %error);
                return;
            }
        };
        let age = Duration::from_secs(u64::from(note.age_s));
        for (_, died, _) in &mut suspicion.deaths {
            *died += age;
        }
        suspicion.answered = suspicion.answered.map(|answered| answered + age);
        self.quarantine.merge_parts(self.shared.now(), &[suspicion]);
        self.schedule(Due::Now);
    }

    /// Clears parts that were answered, announces the evidence, and publishes a snapshot if other parts are refused than
    /// before.
    pub(super) fn update_parts(&mut self) {
        let now = self.shared.now();
        if self.quarantine.apply_answers(&self.shared.completed) {
            self.share_suspicions();
            self.schedule(Due::Now);
        }
        if self.quarantine.part_count() == 0 && self.announcer.refused.is_empty() {
            return;
        }
        self.quarantine.expire(now);
        let refused: Vec<_> = self.part_table().refused().map(|(part, _)| part).collect();
        if refused != self.announcer.refused {
            self.log_refused(&refused);
            self.announcer.refused = refused;
            self.schedule(Due::Now);
        }
        if now.since(self.announcer.last) >= INTERVAL {
            self.share_parts();
        }
    }

    /// Returns the verdicts on parts for the worker threads.
    pub(super) fn part_table(&mut self) -> part::Table {
        self.quarantine.clear_answered_parts(&self.shared.answered);
        self.quarantine.part_table(part::Entry {
            hash: self.announcer.origin.0,
            count: self.entry_count.max(1),
        })
    }

    /// Announces the evidence on parts. An announcement that is unchanged has the same key and version, and is not repeated.
    fn share_parts(&mut self) {
        self.announcer.last = self.shared.now();
        let Some(peers) = self.shared.peers.get() else { return };
        let now = self.shared.now();
        let logger = &self.shared.settings.logger;
        let announce = |key, version, suspicion: &part::Suspicion| match postcard::to_stdvec(suspicion) {
            Ok(body) => peers.send(Request::NotePublished {
                topic: note::Topic::PARTS,
                key,
                version,
                body,
            }),
            Err(error) => warn!(logger, "evidence on a part cannot be encoded"; "error" => %error),
        };
        for mut suspicion in self.quarantine.part_suspicions(now) {
            let digits = suspicion.fingerprint.get();
            for death in core::mem::take(&mut suspicion.deaths) {
                let (instance, _, attribution) = &death;
                let hash = xxh3_64_with_seed(instance.vm.as_str().as_bytes(), instance.incarnation.get());
                let version = match attribution {
                    Attribution::Unconfirmed => 1,
                    Attribution::Counted | Attribution::Forgiven => 2,
                    Attribution::Excused => 3,
                };
                let single = part::Suspicion {
                    answered: None,
                    deaths: vec![death],
                    ..suspicion.clone()
                };
                announce(digits ^ u128::from(hash), version, &single);
            }
            if let Some(age) = suspicion.answered {
                let version = (now - age).as_micros() / 1_000_000 + 1;
                announce(digits ^ u128::from(self.announcer.origin.0) << 64, version, &suspicion);
            }
        }
    }

    /// Logs the parts that are refused since the last snapshot, or no longer.
    fn log_refused(&self, refused: &[Fingerprint]) {
        let logger = &self.shared.settings.logger;
        let before = &self.announcer.refused;
        for part in refused.iter().filter(|part| !before.contains(part)) {
            let deaths = self.quarantine.part_tally(*part).deaths;
            warn!(logger, "a part of prompts is refused"; "part" => format!("{:032x}", part.get()), "deaths" => deaths);
        }
        for part in before.iter().filter(|part| !refused.contains(part)) {
            warn!(logger, "a part of prompts is admitted again"; "part" => format!("{:032x}", part.get()));
        }
    }
}
