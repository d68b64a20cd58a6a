//! What is held against one request.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::Victim;

/// Whether a death counts against the work that ran there.
///
/// The order is the merge: the higher standing wins, so a pardon reaches every entry whatever the order of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Standing {
    /// It counts.
    Counted,
    /// It lay in a wave and does not count.
    Forgiven,
    /// It was announced and does not count.
    Announced,
}

/// What one entry tells others about one request.
///
/// Deaths go with their age, since every process counts its time from an epoch of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspicion {
    /// Which request.
    pub fingerprint: Fingerprint,
    /// Who died while it ran there, how long ago, and whether that counts.
    pub deaths: Vec<(Victim, Duration, Standing)>,
}

/// Deaths that lie in a wave, as far as is known by now.
#[derive(Clone, Debug, Default)]
pub(super) struct Spared {
    pub(super) victims: BTreeSet<Victim>,
    pub(super) pardons: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Record {
    deaths: BTreeMap<Victim, (Instant, Standing)>,
}

impl Record {
    pub(super) fn count(&mut self, now: Instant, victim: &Victim) {
        self.deaths.entry(victim.clone()).or_insert((now, Standing::Counted));
    }

    /// Returns how many deaths count that lie within `memory` of the latest.
    pub(super) fn counted(&self, memory: Duration, spared: &Spared) -> usize {
        let latest = self.latest_counted(spared).unwrap_or_default();
        let recent = |at: &Instant| latest.since(*at) <= memory;
        self.counting(spared).filter(recent).count()
    }

    /// Returns the instant of the latest death that counts.
    pub(super) fn latest_counted(&self, spared: &Spared) -> Option<Instant> {
        self.counting(spared).max()
    }

    /// Returns whether a death of somebody else counts.
    pub(super) fn counts_beside(&self, victim: &Victim) -> bool {
        let counts =
            |(other, (_, standing)): (&Victim, &(Instant, Standing))| other != victim && *standing == Standing::Counted;
        self.deaths.iter().any(counts)
    }

    fn counting(&self, spared: &Spared) -> impl Iterator<Item = Instant> {
        // What may yet be forgiven to one request is bounded as what is.
        let sparing = self.with(Standing::Forgiven).count() < spared.pardons;
        let deaths = self.deaths.iter();
        let counting = deaths.filter(move |(victim, (_, standing))| {
            *standing == Standing::Counted && !(sparing && spared.victims.contains(victim))
        });
        counting.map(|(_, (at, _))| *at)
    }

    pub(super) fn latest(&self) -> Option<Instant> {
        self.deaths.values().map(|(at, _)| *at).max()
    }

    /// Forgives one death unless too many were forgiven before.
    pub(super) fn forgive(&mut self, victim: &Victim, pardons: usize) {
        if self.with(Standing::Forgiven).count() < pardons {
            self.raise(victim, Standing::Forgiven);
        }
    }

    pub(super) fn pardon(&mut self, victim: &Victim) {
        self.raise(victim, Standing::Announced);
    }

    pub(super) fn merge(&mut self, now: Instant, other: &Suspicion, lifetime: Duration) {
        for (victim, age, standing) in &other.deaths {
            // A death that is forgotten here must not come back from an entry that forgets it a moment later.
            if *age > lifetime {
                continue;
            }
            let at = now - *age;
            let (known_at, known_standing) = self.deaths.entry(victim.clone()).or_insert((at, *standing));
            *known_at = at.min(*known_at);
            *known_standing = (*standing).max(*known_standing);
        }
    }

    pub(super) fn export(&self, fingerprint: Fingerprint, now: Instant, spared: &Spared) -> Suspicion {
        // Whether these count is settled in some seconds; what was once told as forgiven could not be taken back.
        let settled = |(victim, _): &(&Victim, &(Instant, Standing))| !spared.victims.contains(victim);
        let death =
            |(victim, (at, standing)): (&Victim, &(Instant, Standing))| (victim.clone(), now.since(*at), *standing);
        let deaths = self.deaths.iter().filter(settled).map(death).collect();
        Suspicion { fingerprint, deaths }
    }

    /// Forgets old deaths and returns whether any is left.
    pub(super) fn expire(&mut self, now: Instant, lifetime: Duration) -> bool {
        self.deaths.retain(|_, (at, _)| now.since(*at) <= lifetime);
        !self.deaths.is_empty()
    }

    fn raise(&mut self, victim: &Victim, to: Standing) {
        if let Some((_, standing)) = self.deaths.get_mut(victim) {
            *standing = to.max(*standing);
        }
    }

    fn with(&self, wanted: Standing) -> impl Iterator<Item = Instant> {
        let matching = move |(at, standing): &(Instant, Standing)| (*standing == wanted).then_some(*at);
        self.deaths.values().filter_map(matching)
    }
}
