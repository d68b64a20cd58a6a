//! What is held against one request.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::Instance;

/// Whether a death counts against the work that ran there.
///
/// The order is the merge: the higher attribution wins, so a pardon reaches every entry whatever the order of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Attribution {
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
    pub deaths: Vec<(Instance, Duration, Attribution)>,
}

/// Deaths that lie in a wave, as far as is known by now.
#[derive(Clone, Debug, Default)]
pub(super) struct Spared {
    pub(super) instances: BTreeSet<Instance>,
    pub(super) pardons: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Record {
    deaths: BTreeMap<Instance, (Instant, Attribution)>,
}

impl Record {
    pub(super) fn count(&mut self, now: Instant, instance: &Instance) {
        self.deaths
            .entry(instance.clone())
            .or_insert((now, Attribution::Counted));
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
    pub(super) fn counts_beside(&self, instance: &Instance) -> bool {
        let counts = |(other, (_, attribution)): (&Instance, &(Instant, Attribution))| {
            other != instance && *attribution == Attribution::Counted
        };
        self.deaths.iter().any(counts)
    }

    fn counting(&self, spared: &Spared) -> impl Iterator<Item = Instant> {
        // What may yet be forgiven to one request is bounded as what is.
        let sparing = self.with(Attribution::Forgiven).count() < spared.pardons;
        let deaths = self.deaths.iter();
        let counting = deaths.filter(move |(instance, (_, attribution))| {
            *attribution == Attribution::Counted && !(sparing && spared.instances.contains(instance))
        });
        counting.map(|(_, (at, _))| *at)
    }

    pub(super) fn latest(&self) -> Option<Instant> {
        self.deaths.values().map(|(at, _)| *at).max()
    }

    /// Forgives one death unless too many were forgiven before.
    pub(super) fn forgive(&mut self, instance: &Instance, pardons: usize) {
        if self.with(Attribution::Forgiven).count() < pardons {
            self.raise(instance, Attribution::Forgiven);
        }
    }

    pub(super) fn pardon(&mut self, instance: &Instance) {
        self.raise(instance, Attribution::Announced);
    }

    pub(super) fn merge(&mut self, now: Instant, other: &Suspicion, lifetime: Duration) {
        for (instance, age, attribution) in &other.deaths {
            // A death that is forgotten here must not come back from an entry that forgets it a moment later.
            if *age > lifetime {
                continue;
            }
            let at = now - *age;
            let (known_at, known_attribution) = self.deaths.entry(instance.clone()).or_insert((at, *attribution));
            *known_at = at.min(*known_at);
            *known_attribution = (*attribution).max(*known_attribution);
        }
    }

    pub(super) fn export(&self, fingerprint: Fingerprint, now: Instant, spared: &Spared) -> Suspicion {
        // Whether these count is settled in some seconds; what was once told as forgiven could not be taken back.
        let settled = |(instance, _): &(&Instance, &(Instant, Attribution))| !spared.instances.contains(instance);
        let death = |(instance, (at, attribution)): (&Instance, &(Instant, Attribution))| {
            (instance.clone(), now.since(*at), *attribution)
        };
        let deaths = self.deaths.iter().filter(settled).map(death).collect();
        Suspicion { fingerprint, deaths }
    }

    /// Forgets old deaths and returns whether any is left.
    pub(super) fn expire(&mut self, now: Instant, lifetime: Duration) -> bool {
        self.deaths.retain(|_, (at, _)| now.since(*at) <= lifetime);
        !self.deaths.is_empty()
    }

    fn raise(&mut self, instance: &Instance, to: Attribution) {
        if let Some((_, attribution)) = self.deaths.get_mut(instance) {
            *attribution = to.max(*attribution);
        }
    }

    fn with(&self, wanted: Attribution) -> impl Iterator<Item = Instant> {
        let matching = move |(at, attribution): &(Instant, Attribution)| (*attribution == wanted).then_some(*at);
        self.deaths.values().filter_map(matching)
    }
}
