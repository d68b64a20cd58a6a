//! Deaths in which one request was involved.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::Instance;

/// Attribution of a death to the requests that were running there.
///
/// On a merge, the higher attribution wins, so the decision not to count a death reaches all entries in any order of
/// messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Attribution {
    /// Nobody could tell whether the instance died or its path broke. Only several such deaths count, and for a shorter
    /// time.
    Unconfirmed,
    /// The death counts.
    Counted,
    /// The death was correlated with others and does not count.
    Forgiven,
    /// The death was announced, or an endpoint of the same version answered the same request whole after it. It does not
    /// count.
    Excused,
}

/// Last whole answer to a request, beside the death of an instance that was running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// An endpoint of the same version answered at this time.
    SameVersion(Instant),
    /// Some endpoint answered, and the version of the instance is not known.
    AnyVersion,
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
    /// Number of deaths that were announced, or after which the request was answered whole.
    pub excused: usize,
    /// Number of deaths that nobody could confirm.
    pub unconfirmed: usize,
    /// Number of deaths of instances whose registrations had been removed before, as far as this entry knows.
    pub removed: usize,
}

/// Reasons for which deaths do not count at present.
///
/// Entries do not exchange them, as each of them may end: registrations return, and deaths turn out to be unrelated.
#[derive(Clone, Debug)]
pub(super) struct Excuses<'a> {
    /// Instances whose deaths appear correlated so far.
    pub(super) correlated: BTreeSet<Instance>,
    /// Maximum number of deaths forgiven to one request.
    pub(super) max_forgiven: usize,
    /// Times at which registrations were removed without an announcement.
    pub(super) removals: &'a BTreeMap<Instance, Instant>,
}

/// Returns whether the registration of an instance was removed before a time.
pub(super) fn is_removed_before(removals: &BTreeMap<Instance, Instant>, instance: &Instance, at: Instant) -> bool {
    removals.get(instance).is_some_and(|removed| at > *removed)
}

/// Deaths in which one request was involved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Record {
    deaths: BTreeMap<Instance, (Instant, Attribution)>,
    /// Whether endpoints that may have the versions of those that died are known to have answered the request whole, for all
    /// deaths that are not excused.
    is_answered: bool,
}

impl Record {
    /// Adds a death. If it is already known, the higher attribution stays.
    pub(super) fn add(&mut self, now: Instant, instance: &Instance, attribution: Attribution) {
        let (_, known) = self.deaths.entry(instance.clone()).or_insert((now, attribution));
        *known = attribution.max(*known);
    }

    /// Returns the number of counted deaths within `memory` of the latest one.
    pub(super) fn count(&self, memory: Duration, excuses: &Excuses<'_>) -> usize {
        let latest = self.latest_counted(excuses).unwrap_or_default();
        let recent = |at: &Instant| latest.since(*at) <= memory;
        self.counted(excuses).filter(recent).count()
    }

    /// Returns the number of deaths by attribution.
    pub(super) fn tally(&self, excuses: &Excuses<'_>) -> Tally {
        let present = self.present(excuses.removals);
        let all_counted = present.filter(|(_, _, attribution)| *attribution == Attribution::Counted);
        let all_counted = all_counted.count();
        let counted = self.counted(excuses).count();
        let unexcused = self.deaths.len() - self.times(Attribution::Excused).count();
        Tally {
            counted,
            correlated: all_counted - counted,
            forgiven: self.times(Attribution::Forgiven).count(),
            excused: self.times(Attribution::Excused).count(),
            unconfirmed: self.times(Attribution::Unconfirmed).count(),
            removed: unexcused - self.unexcused_times(Attribution::Unconfirmed, excuses.removals).count(),
        }
    }

    /// Returns the time of the latest counted death.
    pub(super) fn latest_counted(&self, excuses: &Excuses<'_>) -> Option<Instant> {
        self.counted(excuses).max()
    }

    /// Returns the number of deaths within `memory` of the latest one that are not excused and have at least this
    /// attribution, including correlated ones.
    pub(super) fn unexcused(&self, memory: Duration, least: Attribution, excuses: &Excuses<'_>) -> usize {
        let latest = self.latest_unexcused(excuses).unwrap_or_default();
        let recent = |at: &Instant| latest.since(*at) <= memory;
        self.unexcused_times(least, excuses.removals).filter(recent).count()
    }

    /// Returns the time of the latest death that is not excused.
    pub(super) fn latest_unexcused(&self, excuses: &Excuses<'_>) -> Option<Instant> {
        self.unexcused_times(Attribution::Unconfirmed, excuses.removals).max()
    }

    /// Returns whether another instance died before, and that death counts.
    pub(super) fn has_earlier_counted(
        &self,
        at: Instant,
        instance: &Instance,
        removals: &BTreeMap<Instance, Instant>,
    ) -> bool {
        let mut present = self.present(removals);
        present.any(|(other, died, attribution)| other != instance && died < at && attribution == Attribution::Counted)
    }

    /// Returns the times of the counted deaths.
    fn counted(&self, excuses: &Excuses<'_>) -> impl Iterator<Item = Instant> {
        // The limit of forgiven deaths also applies to those that may still be forgiven.
        let may_forgive = self.times(Attribution::Forgiven).count() < excuses.max_forgiven;
        let present = self.present(excuses.removals);
        let counted = present.filter(move |(instance, _, attribution)| {
            *attribution == Attribution::Counted && !(may_forgive && excuses.correlated.contains(*instance))
        });
        counted.map(|(_, at, _)| at)
    }

    /// Returns the deaths of instances whose registrations had not been removed before.
    pub(super) fn present(
        &self,
        removals: &BTreeMap<Instance, Instant>,
    ) -> impl Iterator<Item = (&Instance, Instant, Attribution)> {
        let deaths = self.deaths.iter();
        let deaths = deaths.map(|(instance, (at, attribution))| (instance, *at, *attribution));
        deaths.filter(|(instance, at, _)| !is_removed_before(removals, instance, *at))
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

    /// Excuses the deaths after which an endpoint answered the request whole; `answer` returns the last whole answer that speaks
    /// for the request at an instance. Returns whether any was excused.
    pub(super) fn apply_answers(&mut self, answer: impl Fn(&Instance) -> Option<Answer>) -> bool {
        let mut has_changed = false;
        self.is_answered = true;
        let counting = self.deaths.iter_mut();
        let counting = counting.filter(|(_, (_, attribution))| *attribution < Attribution::Excused);
        for (instance, (died, attribution)) in counting {
            let answer = answer(instance);
            if let Some(Answer::SameVersion(at)) = answer
                && at > *died
            {
                *attribution = Attribution::Excused;
                has_changed = true;
            }
            self.is_answered &= answer.is_some();
        }
        has_changed
    }

    /// Returns whether endpoints that may have the versions of those that died are known to have answered the request whole, for
    /// all deaths that are not excused.
    pub(super) const fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Marks the deaths of instances whose end was announced.
    pub(super) fn apply_announcements(&mut self, announcements: &BTreeMap<Instance, Instant>) {
        for (instance, (_, attribution)) in &mut self.deaths {
            if announcements.contains_key(instance) {
                *attribution = Attribution::Excused;
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

    /// Removes the oldest deaths beyond a number.
    pub(super) fn keep_newest(&mut self, most: usize) {
        while self.deaths.len() > most {
            let oldest = self.deaths.iter().min_by_key(|(_, (at, _))| *at);
            let Some(instance) = oldest.map(|(instance, _)| instance.clone()) else {
                return;
            };
            self.deaths.remove(&instance);
        }
    }

    /// Raises the attribution of a death.
    fn raise(&mut self, instance: &Instance, to: Attribution) {
        if let Some((_, attribution)) = self.deaths.get_mut(instance) {
            *attribution = to.max(*attribution);
        }
    }

    /// Returns the times of the deaths that are not excused and have at least this attribution, of instances that had not been removed
    /// before.
    fn unexcused_times(
        &self,
        least: Attribution,
        removals: &BTreeMap<Instance, Instant>,
    ) -> impl Iterator<Item = Instant> {
        let present = self.present(removals);
        present
            .filter_map(move |(_, at, attribution)| (least..Attribution::Excused).contains(&attribution).then_some(at))
    }

    /// Returns the times of the deaths with an attribution.
    fn times(&self, wanted: Attribution) -> impl Iterator<Item = Instant> {
        let matching = move |(at, attribution): &(Instant, Attribution)| (*attribution == wanted).then_some(*at);
        self.deaths.values().filter_map(matching)
    }
}
