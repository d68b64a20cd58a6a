//! What is held against one request.

use core::time::Duration;
use std::collections::BTreeMap;

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

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Record {
    deaths: BTreeMap<Victim, (Instant, Standing)>,
}

impl Record {
    pub(super) fn count(&mut self, now: Instant, victim: &Victim) {
        self.deaths.entry(victim.clone()).or_insert((now, Standing::Counted));
    }

    /// Returns how many deaths count that lie within `memory` of the latest.
    pub(super) fn counted(&self, memory: Duration) -> usize {
        let latest = self.latest_counted().unwrap_or_default();
        let recent = |at: &Instant| latest.since(*at) <= memory;
        self.with(Standing::Counted).filter(recent).count()
    }

    /// Returns the instant of the latest death that counts.
    pub(super) fn latest_counted(&self) -> Option<Instant> {
        self.with(Standing::Counted).max()
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

    pub(super) fn export(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let death =
            |(victim, (at, standing)): (&Victim, &(Instant, Standing))| (victim.clone(), now.since(*at), *standing);
        let deaths = self.deaths.iter().map(death).collect();
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
