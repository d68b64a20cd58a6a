//! Evidence on one part: the deaths that accuse it, and the last answer that cleared it.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::Removals;
use crate::quarantine;
use crate::quarantine::Attribution;
use crate::quarantine::Instance;
use crate::quarantine::record::Record;

/// Maximum number of deaths that are kept; the newest ones stay.
const MAX_DEATHS: usize = 64;

/// Maximum number of deaths that are told to others.
const MAX_TOLD: usize = 32;

/// Evidence on one part, as entries exchange it.
///
/// Times are sent as ages, because every process has its own epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of the part.
    pub fingerprint: Fingerprint,
    /// Largest number of parts before it in a prompt.
    pub depth: u8,
    /// Time since the last answer with the part; `None` if none is known.
    pub answered: Option<Duration>,
    /// Whether the part was refused since then.
    pub was_refused: bool,
    /// Instances that died with requests that hold the part, with the age and the attribution of each death.
    pub deaths: Vec<(Instance, Duration, Attribution)>,
}

impl Suspicion {
    /// Returns whether an answer cleared the part of all these deaths.
    pub(super) fn is_cleared(&self) -> bool {
        let is_before = |answered: Duration| self.deaths.iter().all(|(_, age, _)| *age >= answered);
        self.answered.is_some_and(is_before)
    }
}

/// Evidence on one part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Evidence {
    deaths: Record,
    depth: u8,
    answered: Option<Instant>,
    /// Whether it was refused since the last answer.
    was_refused: bool,
    /// Time at which it was found to be cleared of all deaths.
    cleared_at: Option<Instant>,
}

impl Evidence {
    /// Adds a death.
    pub(super) fn add(&mut self, at: Instant, instance: &Instance, depth: u8, attribution: Attribution) {
        self.deaths.add(at, instance, attribution);
        self.depth = self.depth.max(depth);
        self.deaths.keep_newest(MAX_DEATHS);
    }

    /// Records that an answer with the part had begun.
    pub(super) fn clear(&mut self, at: Instant) {
        self.answered = self.answered.max(Some(at));
        if self.latest() < self.answered {
            self.was_refused = false;
        }
    }

    /// Records that the part is refused.
    pub(super) const fn mark_refused(&mut self) {
        self.was_refused = true;
    }

    /// Returns whether the part was refused since the last answer.
    pub(super) const fn was_refused(&self) -> bool {
        self.was_refused
    }

    /// Returns the largest number of parts before it.
    pub(super) const fn depth(&self) -> u8 {
        self.depth
    }

    /// Returns the time of the last answer.
    pub(super) const fn answered(&self) -> Option<Instant> {
        self.answered
    }

    /// Returns the time of the last death.
    pub(super) fn latest(&self) -> Option<Instant> {
        self.deaths.latest()
    }

    /// Returns the instances that died with the part, unless their end was announced.
    pub(super) fn unannounced(&self) -> impl Iterator<Item = &Instance> {
        let none = const { &Removals::new() };
        let present = self.deaths.present(none);
        let unannounced = present.filter(|(_, _, attribution)| *attribution != Attribution::Excused);
        unannounced.map(|(instance, ..)| instance)
    }

    /// Returns the deaths that accuse the part: those after the last answer. Deaths that nobody confirmed accuse only a part
    /// without any answer, as a cut breaks the connections of sound requests too.
    pub(super) fn accusing(&self, removals: &Removals) -> impl Iterator<Item = (Instant, &Instance)> {
        let present = self.deaths.present(removals);
        let accusing = present.filter(|(_, at, attribution)| {
            let is_later = self.answered.is_none_or(|answered| *at > answered);
            is_later
                && match attribution {
                    Attribution::Unconfirmed => self.answered.is_none(),
                    Attribution::Counted | Attribution::Forgiven => true,
                    Attribution::Excused => false,
                }
        });
        accusing.map(|(instance, at, _)| (at, instance))
    }

    /// Returns the accusing deaths that are not explained by other parts, in the order of their times.
    pub(super) fn unexplained(&self, removals: &Removals, explained: &BTreeSet<&Instance>) -> Vec<Instant> {
        let accusing = self.accusing(removals);
        let unexplained = accusing.filter(|(_, instance)| !explained.contains(instance));
        let mut times: Vec<_> = unexplained.map(|(at, _)| at).collect();
        times.sort_unstable();
        times
    }

    /// Returns whether an answer cleared the part of all its deaths.
    pub(super) fn is_cleared(&self, removals: &Removals) -> bool {
        self.answered.is_some() && self.accusing(removals).next().is_none()
    }

    /// Marks the deaths of instances whose end was announced.
    pub(super) fn apply_announcements(&mut self, announcements: &BTreeMap<Instance, Instant>) {
        self.deaths.apply_announcements(announcements);
    }

    /// Merges the evidence that another entry has.
    pub(super) fn merge(&mut self, now: Instant, other: &Suspicion, memory: Duration) {
        let deaths = quarantine::Suspicion {
            fingerprint: other.fingerprint,
            deaths: other.deaths.clone(),
        };
        self.deaths.merge(now, &deaths, memory);
        self.deaths.keep_newest(MAX_DEATHS);
        self.depth = self.depth.max(other.depth);
        self.was_refused |= other.was_refused;
        if let Some(age) = other.answered {
            self.clear(now - age);
        }
    }

    /// Returns the evidence to send to other entries.
    pub(super) fn export(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let mut deaths = self.deaths.export(fingerprint, now).deaths;
        deaths.sort_by_key(|(_, age, _)| *age);
        deaths.truncate(MAX_TOLD);
        Suspicion {
            fingerprint,
            depth: self.depth,
            answered: self.answered.map(|at| now.since(at)),
            was_refused: self.was_refused,
            deaths,
        }
    }

    /// Removes expired deaths and returns whether the evidence is still of use. Evidence on a cleared part is kept for
    /// `cleared_ttl` after it was found to be cleared.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        removals: &Removals,
        memory: Duration,
        cleared_ttl: Duration,
    ) -> bool {
        if !self.deaths.expire(now, memory) {
            return false;
        }
        self.cleared_at = self.is_cleared(removals).then_some(self.cleared_at.unwrap_or(now));
        self.cleared_at.is_none_or(|at| now.since(at) <= cleared_ttl)
    }
}
