//! Deaths in which one request was involved.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::Departure;
use super::Instance;

/// Attribution of a death to the requests that were running there.
///
/// On a merge, the higher attribution wins, so the decision not to count a death reaches all entries in any order of
/// messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Attribution {
    /// The death counts.
    Counted,
    /// The death was correlated with others and does not count.
    Forgiven,
    /// The death was announced and does not count.
    Announced,
}

/// Suspicion of one request, as entries exchange it.
///
/// Deaths carry their age, because every process has its own epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Instances that died while the request was running there, with the age and the attribution of each death.
    pub deaths: Vec<(Instance, Duration, Attribution)>,
}

/// Deaths in which one request was involved, by attribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of deaths that count, except for those that appear correlated so far.
    pub counted: usize,
    /// Number of deaths that appear correlated so far.
    pub correlated: usize,
    /// Number of deaths that were forgiven, as they were correlated.
    pub forgiven: usize,
    /// Number of deaths that were announced.
    pub announced: usize,
}

/// Recent deaths that appear correlated so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Correlated {
    pub(super) instances: BTreeSet<Instance>,
    /// Maximum number of deaths forgiven to one request.
    pub(super) max_forgiven: usize,
}

/// Deaths in which one request was involved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Record {
    deaths: BTreeMap<Instance, (Instant, Attribution)>,
}

impl Record {
    /// Adds a death that counts, unless it is already known.
    pub(super) fn add(&mut self, now: Instant, instance: &Instance) {
        self.deaths
            .entry(instance.clone())
            .or_insert((now, Attribution::Counted));
    }

    /// Returns the number of counted deaths within `memory` of the latest one.
    pub(super) fn count(&self, memory: Duration, correlated: &Correlated) -> usize {
        let latest = self.latest_counted(correlated).unwrap_or_default();
        let recent = |at: &Instant| latest.since(*at) <= memory;
        self.counted(correlated).filter(recent).count()
    }

    /// Returns the number of deaths by attribution.
    pub(super) fn tally(&self, correlated: &Correlated) -> Tally {
        let all_counted = self.times(Attribution::Counted).count();
        let counted = self.counted(correlated).count();
        Tally {
            counted,
            correlated: all_counted - counted,
            forgiven: self.times(Attribution::Forgiven).count(),
            announced: self.times(Attribution::Announced).count(),
        }
    }

    /// Returns the time of the latest counted death.
    pub(super) fn latest_counted(&self, correlated: &Correlated) -> Option<Instant> {
        self.counted(correlated).max()
    }

    /// Returns the number of unannounced deaths within `memory` of the latest one, including correlated ones.
    pub(super) fn unannounced(&self, memory: Duration) -> usize {
        let latest = self.latest_unannounced().unwrap_or_default();
        let recent = |at: &Instant| latest.since(*at) <= memory;
        self.unannounced_times().filter(recent).count()
    }

    /// Returns the time of the latest unannounced death.
    pub(super) fn latest_unannounced(&self) -> Option<Instant> {
        self.unannounced_times().max()
    }

    /// Returns whether another instance died before, and that death counts.
    pub(super) fn has_earlier_counted(&self, at: Instant, instance: &Instance) -> bool {
        let counts = |(other, (died, attribution)): (&Instance, &(Instant, Attribution))| {
            other != instance && *died < at && *attribution == Attribution::Counted
        };
        self.deaths.iter().any(counts)
    }

    /// Returns the times of the counted deaths.
    fn counted(&self, correlated: &Correlated) -> impl Iterator<Item = Instant> {
        // The limit of forgiven deaths also applies to those that may still be forgiven.
        let may_forgive = self.times(Attribution::Forgiven).count() < correlated.max_forgiven;
        let deaths = self.deaths.iter();
        let counted = deaths.filter(move |(instance, (_, attribution))| {
            *attribution == Attribution::Counted && !(may_forgive && correlated.instances.contains(instance))
        });
        counted.map(|(_, (at, _))| *at)
    }

    /// Returns the time of the latest death.
    pub(super) fn latest(&self) -> Option<Instant> {
        self.deaths.values().map(|(at, _)| *at).max()
    }

    /// Forgives one death unless `max_forgiven` deaths are already forgiven.
    pub(super) fn forgive(&mut self, instance: &Instance, max_forgiven: usize) {
        if self.times(Attribution::Forgiven).count() < max_forgiven {
            self.raise(instance, Attribution::Forgiven);
        }
    }

    /// Marks the deaths that departures explain as announced.
    pub(super) fn apply_departures(&mut self, departures: &BTreeMap<Instance, Departure>) {
        for (instance, (at, attribution)) in &mut self.deaths {
            let departure = departures.get(instance);
            if departure.is_some_and(|departure| departure.explains(*at)) {
                *attribution = Attribution::Announced;
            }
        }
    }

    /// Merges the deaths that another entry knows of.
    pub(super) fn merge(&mut self, now: Instant, other: &Suspicion, lifetime: Duration) {
        for (instance, age, attribution) in &other.deaths {
            // A death that has expired here must not come back from an entry on which it expires a moment later.
            if *age > lifetime {
                continue;
            }
            let at = now - *age;
            let (known_at, known_attribution) = self.deaths.entry(instance.clone()).or_insert((at, *attribution));
            *known_at = at.min(*known_at);
            *known_attribution = (*attribution).max(*known_attribution);
        }
    }

    /// Returns the suspicion to send to other entries.
    pub(super) fn export(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let death = |(instance, (at, attribution)): (&Instance, &(Instant, Attribution))| {
            (instance.clone(), now.since(*at), *attribution)
        };
        let deaths = self.deaths.iter().map(death).collect();
        Suspicion { fingerprint, deaths }
    }

    /// Removes expired deaths and returns whether any remain.
    pub(super) fn expire(&mut self, now: Instant, lifetime: Duration) -> bool {
        self.deaths.retain(|_, (at, _)| now.since(*at) <= lifetime);
        !self.deaths.is_empty()
    }

    /// Raises the attribution of a death.
    fn raise(&mut self, instance: &Instance, to: Attribution) {
        if let Some((_, attribution)) = self.deaths.get_mut(instance) {
            *attribution = to.max(*attribution);
        }
    }

    /// Returns the times of the deaths that were not announced.
    fn unannounced_times(&self) -> impl Iterator<Item = Instant> {
        let deaths = self.deaths.values();
        deaths.filter_map(|(at, attribution)| (*attribution != Attribution::Announced).then_some(*at))
    }

    /// Returns the times of the deaths with an attribution.
    fn times(&self, wanted: Attribution) -> impl Iterator<Item = Instant> {
        let matching = move |(at, attribution): &(Instant, Attribution)| (*attribution == wanted).then_some(*at);
        self.deaths.values().filter_map(matching)
    }
}
