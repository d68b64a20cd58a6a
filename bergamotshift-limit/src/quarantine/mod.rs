//! Detection and quarantine of requests that crash the endpoints they run on.
//!
//! A request that was running on an endpoint when the endpoint died becomes suspected. Suspicions are kept by content
//! fingerprint, so that requests sent again by the caller are recognised. Suspected requests run alone; after two
//! distinct deaths they are refused for some time. Deaths with another explanation do not count: announced deaths, and
//! correlated ones ([`Settings::correlated_deaths`]) up to a limit ([`Settings::max_deaths`]).
//!
//! A request that crashes endpoints is never answered whole, while one that many callers send is running wherever an endpoint
//! dies of another cause. So a whole answer excuses the deaths before it ([`Quarantine::apply_answers`]), of endpoints of the
//! same version: a request may crash one version and no other.
//!
//! Parts that several prompts share are judged by themselves ([`part`]).
//!
//! The control thread records deaths in a [`Quarantine`] and publishes a [`Table`] for the workers. Entries exchange
//! [`Suspicion`]s, whose merge is commutative and idempotent, so their order and repetition do not matter.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::quarantine::{Death, Instance, Quarantine, Settings, Verdict};
//!
//! let crashing = Fingerprint::of("planner-llm", "POST", "/v1/completions", b"{}");
//! let mut quarantine = Quarantine::new(Settings::default());
//! for (second, vm) in [(1, "vm-1"), (9, "vm-2")] {
//!     let instance = Instance::new(name::Vm::from(vm), Incarnation::new(1));
//!     let death = Death { instance, announced: false, running: vec![crashing] };
//!     quarantine.record_death(Instant::from_secs(second), death);
//! }
//! let verdict = quarantine.table().verdict(Instant::from_secs(10), crashing);
//! assert!(matches!(verdict, Verdict::Refused { .. }));
//! ```

mod answers;
mod completed;
pub mod part;
mod record;
mod table;

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

pub use self::completed::Completed;
use self::part::Parts;
pub use self::record::Attribution;
use self::record::Excuses;
use self::record::Record;
pub use self::record::Suspicion;
pub use self::record::Tally;
use self::record::is_removed_before;
pub use self::table::Table;
pub use self::table::Verdict;

/// One incarnation of an endpoint's VM, with the same identity on every entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// Name of the VM.
    pub vm: name::Vm,
    /// Incarnation of the VM of that name.
    pub incarnation: Incarnation,
}

impl Instance {
    /// Creates an instance identity.
    pub const fn new(vm: name::Vm, incarnation: Incarnation) -> Self {
        Self { vm, incarnation }
    }
}

/// Death of an endpoint, as observed by one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Death {
    /// Instance that died.
    pub instance: Instance,
    /// Whether the platform or the endpoint had announced the death.
    pub announced: bool,
    /// Requests of this entry that were running on the instance.
    pub running: Vec<Fingerprint>,
}

/// Quarantine parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of distinct deaths from which a request is refused.
    pub deaths: usize,
    /// Number of distinct deaths from which a request is refused although they were correlated or not confirmed.
    pub max_deaths: usize,
    /// Time for which a request is refused after its last death.
    pub hold: Duration,
    /// Time for which a request is refused after its second death if endpoints of that version answered it whole before; it
    /// doubles with each further death, up to `hold`.
    ///
    /// Such a request is probably sound, and nothing can answer it while it is refused. But what it makes endpoints do may have
    /// changed since.
    pub answered_hold: Duration,
    /// Time for which a request is refused after its last death if the refusal rests on deaths that nobody confirmed.
    ///
    /// A cut from all endpoints breaks connections like deaths do, so harmless requests may be among them. They have to be
    /// admitted again.
    pub unconfirmed_hold: Duration,
    /// Time for which a death counts; a suspected request runs alone until then.
    pub memory: Duration,
    /// Time span within which deaths may have a common cause.
    pub window: Duration,
    /// Number of deaths within the window, not explained by requests already suspected, that are treated as correlated.
    ///
    /// Correlated deaths do not count.
    pub correlated_deaths: usize,
    /// Maximum number of deaths of one request that are forgiven because they were correlated.
    pub max_forgiven: usize,
    /// Maximum number of fingerprints; the oldest are evicted first.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            deaths: 2,
            max_deaths: 3,
            hold: Duration::from_mins(10),
            answered_hold: Duration::from_secs(2),
            unconfirmed_hold: Duration::from_mins(1),
            memory: Duration::from_mins(20),
            window: Duration::from_secs(3),
            correlated_deaths: 2,
            max_forgiven: 4,
            capacity: 4_096,
        }
    }
}

impl Settings {
    /// Returns the time for which a request is refused after a number of deaths that count, the last one included, if it was
    /// answered whole before.
    fn answered_hold(&self, deaths: usize) -> Duration {
        let further = u32::try_from(deaths.saturating_sub(self.deaths)).unwrap_or(u32::MAX);
        let factor = 2_u32.checked_pow(further).unwrap_or(u32::MAX);
        self.answered_hold.saturating_mul(factor).min(self.hold)
    }

    /// Returns the time for which a death is stored.
    ///
    /// A death counts for `memory` and may then still be the first one of a refusal that lasts `hold`.
    fn lifetime(&self) -> Duration {
        self.memory + self.hold
    }
}

/// Death that may still prove to be correlated.
#[derive(Clone, Debug)]
struct RecentDeath {
    at: Instant,
    instance: Instance,
    running: BTreeSet<Fingerprint>,
}

/// Suspicions derived from the deaths of endpoints.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: Settings,
    records: BTreeMap<Fingerprint, Record>,
    /// Recent deaths that this entry or another one saw, in the order of their times.
    recent: Vec<RecentDeath>,
    /// Times at which the ends of instances were announced; no death of them counts.
    announcements: BTreeMap<Instance, Instant>,
    /// Times at which registrations were removed without an announcement; later deaths do not count.
    removals: BTreeMap<Instance, Instant>,
    /// Versions of instances that died, as [`Fingerprint::at_version`] takes them, with the times at which they were recorded;
    /// `None` for one that does not state its version.
    versions: BTreeMap<Instance, (Instant, Option<u64>)>,
    /// Evidence on parts of prompts.
    parts: Parts,
}

impl Quarantine {
    /// Creates a quarantine without suspicions.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            recent: Vec::new(),
            announcements: BTreeMap::new(),
            removals: BTreeMap::new(),
            versions: BTreeMap::new(),
            parts: Parts::default(),
        }
    }

    /// Records the death of an endpoint; `running` is empty if no request of this entry was running there.
    ///
    /// Deaths without requests of this entry have to be recorded too, because they help to recognise correlated deaths.
    ///
    /// A request that crashes every endpoint, sent again and again by its caller, would bring down one endpoint after
    /// the other until none is left. It is refused after two distinct deaths, counted by content and shared between
    /// entries.
    pub fn record_death(&mut self, now: Instant, death: Death) {
        self.expire(now);
        if death.announced {
            self.announce(now, death.instance);
            return;
        }
        if self.announcements.contains_key(&death.instance) {
            return;
        }
        for fingerprint in &death.running {
            self.records
                .entry(*fingerprint)
                .or_default()
                .add(now, &death.instance, Attribution::Counted);
        }
        let running = death.running.into_iter().collect();
        self.add_recent(now, &death.instance, running);
        self.evict();
    }

    /// Records that connections with these requests broke, and that nobody could tell whether the instance died or this
    /// entry and the others are cut off from it.
    ///
    /// If such breaks were dropped, a request that crashes all endpoints of a small service would never be refused: the
    /// entries reach none of them then, as if they were cut off.
    pub fn record_unconfirmed(&mut self, now: Instant, instance: &Instance, running: &[Fingerprint]) {
        self.expire(now);
        if self.announcements.contains_key(instance) {
            return;
        }
        for fingerprint in running {
            let record = self.records.entry(*fingerprint).or_default();
            record.add(now, instance, Attribution::Unconfirmed);
        }
        self.evict();
    }

    /// Records that the end of an instance was announced; deaths already counted for it no longer count.
    ///
    /// The platform's list lags, so the notice may arrive after the connections broke.
    pub fn announce(&mut self, now: Instant, instance: Instance) {
        self.recent.retain(|recent| recent.instance != instance);
        self.announcements.insert(instance, now);
        self.apply_announcements();
    }

    /// Records that the registration of an instance was removed without an announcement. Deaths counted so far still
    /// count, and later ones do not until it returns ([`record_return`](Self::record_return)).
    ///
    /// The registration of an endpoint that crashed is removed because nobody renews it.
    pub fn record_removal(&mut self, now: Instant, instance: Instance) {
        self.removals.entry(instance).or_insert(now);
    }

    /// Records that an instance whose registration was removed has registered again; its deaths count again.
    ///
    /// Registrations lapse while an endpoint or the store is cut off.
    pub fn record_return(&mut self, instance: &Instance) {
        self.removals.remove(instance);
    }

    /// Merges the suspicions of another entry.
    pub fn merge(&mut self, now: Instant, suspicions: &[Suspicion]) {
        for suspicion in suspicions {
            let record = self.records.entry(suspicion.fingerprint).or_default();
            record.merge(now, suspicion, self.settings.lifetime());
            self.add_recent_of(now, suspicion);
        }
        self.expire(now);
        self.apply_announcements();
        self.evict();
    }

    /// Returns the suspicions to send to other entries.
    pub fn suspicions(&self, now: Instant) -> Vec<Suspicion> {
        let export = |(fingerprint, record): (&Fingerprint, &Record)| record.export(*fingerprint, now);
        self.records.iter().map(export).collect()
    }

    /// Returns the deaths in which a request was involved, by attribution.
    pub fn tally(&self, fingerprint: Fingerprint) -> Tally {
        let record = self.records.get(&fingerprint);
        record.map_or_else(Tally::default, |record| record.tally(&self.excuses()))
    }

    /// Records that an endpoint died, or may have died, with requests whose prompts have these parts and whose answers had
    /// not begun. `is_confirmed` is whether the death cannot be a cut.
    pub fn record_lost_parts(&mut self, at: Instant, instance: &Instance, parts: &[part::Part], is_confirmed: bool) {
        if self.announcements.contains_key(instance) {
            return;
        }
        let attribution = if is_confirmed {
            Attribution::Counted
        } else {
            Attribution::Unconfirmed
        };
        self.parts.record(at, instance, parts, attribution);
    }

    /// Clears parts of the deaths before the last answers with them.
    pub fn clear_answered_parts(&mut self, answered: &Completed) {
        self.parts.clear(|fingerprint| answered.latest(fingerprint));
    }

    /// Merges the evidence of another entry on parts.
    pub fn merge_parts(&mut self, now: Instant, suspicions: &[part::Suspicion]) {
        self.parts.merge(now, suspicions);
        self.parts.apply_announcements(&self.announcements);
    }

    /// Returns the evidence on parts to send to other entries.
    pub fn part_suspicions(&self, now: Instant) -> Vec<part::Suspicion> {
        self.parts.suspicions(now, &self.removals)
    }

    /// Returns the evidence on one part.
    pub fn part_tally(&self, fingerprint: Fingerprint) -> part::Tally {
        self.parts.tally(fingerprint, &self.removals)
    }

    /// Returns the number of parts with evidence.
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Returns the verdicts on parts for the workers of an entry.
    pub fn part_table(&mut self, entry: part::Entry) -> part::Table {
        self.parts.table(&self.removals, entry)
    }

    /// Returns the table for the workers.
    pub fn table(&self) -> Table {
        Table::new(&self.settings, &self.records, &self.excuses())
    }

    /// Removes state that no verdict depends on any more.
    pub fn expire(&mut self, now: Instant) {
        let lifetime = self.settings.lifetime();
        self.records.retain(|_, record| record.expire(now, lifetime));
        self.forgive_settled(now);
        self.announcements.retain(|_, at| now.since(*at) <= lifetime);
        self.removals.retain(|_, at| now.since(*at) <= lifetime);
        self.versions.retain(|_, (at, _)| now.since(*at) <= lifetime);
        self.parts.expire(now, &self.removals);
    }

    /// Adds the recent deaths of which another entry knows that they count.
    fn add_recent_of(&mut self, now: Instant, suspicion: &Suspicion) {
        let settled = self.settled();
        for (instance, age, attribution) in &suspicion.deaths {
            let is_announced = self.announcements.contains_key(instance);
            if *attribution == Attribution::Counted && *age <= settled && !is_announced {
                self.add_recent(now - *age, instance, BTreeSet::from([suspicion.fingerprint]));
            }
        }
    }

    /// Adds a death to the recent ones.
    fn add_recent(&mut self, at: Instant, instance: &Instance, running: BTreeSet<Fingerprint>) {
        if is_removed_before(&self.removals, instance, at) {
            return;
        }
        // Several threads and entries report the same death, once for each request that was running.
        if let Some(known) = self.recent.iter_mut().find(|recent| recent.instance == *instance) {
            known.at = known.at.min(at);
            known.running.extend(running);
        } else {
            self.recent.push(RecentDeath {
                at,
                instance: instance.clone(),
                running,
            });
        }
        self.recent.sort_by_key(|recent| recent.at);
    }

    /// Returns whether a request that ran on an instance when it died had ended another one before.
    fn is_explained(&self, recent: &RecentDeath) -> bool {
        recent.running.iter().any(|fingerprint| {
            let record = self.records.get(fingerprint);
            record.is_some_and(|record| record.has_earlier_counted(recent.at, &recent.instance, &self.removals))
        })
    }

    /// Returns the time after which no more reports of a death are expected.
    fn settled(&self) -> Duration {
        self.settings.window * 2
    }

    /// Returns the reasons for which deaths do not count at present.
    fn excuses(&self) -> Excuses<'_> {
        Excuses {
            correlated: self.correlated(),
            max_forgiven: self.settings.max_forgiven,
            removals: &self.removals,
        }
    }

    /// Returns the instances whose recent deaths appear correlated so far.
    ///
    /// When a zone is lost without notice, each request there is involved in one death, or in two if it was moved
    /// within the zone, and would be refused although it is harmless. Endpoints that ran no suspected request cannot
    /// all have died because of one request, so two such deaths in a window indicate another cause. Two crashing
    /// requests that start in the same window look alike; `max_deaths` bounds the number of endpoints that they crash.
    ///
    /// Entries see different requests end on the same endpoint, so they tell each other deaths before these are settled,
    /// and each one judges by all that it knows.
    ///
    /// This is provisional: if a harmless request reports the death of its endpoint before the crashing request that
    /// ran there too, the death first looks unexplained, and two of them look correlated. Deaths are forgiven
    /// permanently only when all their reports must have arrived; otherwise the crashing request would bring down a
    /// third endpoint.
    fn correlated(&self) -> BTreeSet<Instance> {
        let Settings {
            window,
            correlated_deaths,
            ..
        } = self.settings;
        let mut instances = BTreeSet::new();
        let explained: Vec<_> = self.recent.iter().map(|recent| self.is_explained(recent)).collect();
        let (mut first, mut marked, mut unexplained) = (0, 0, 0);
        for (index, last) in self.recent.iter().enumerate() {
            unexplained += usize::from(!explained[index]);
            while last.at.since(self.recent[first].at) > window {
                unexplained -= usize::from(!explained[first]);
                first += 1;
            }
            if unexplained >= correlated_deaths {
                let within = &self.recent[first.max(marked)..=index];
                instances.extend(within.iter().map(|recent| recent.instance.clone()));
                marked = index + 1;
            }
        }
        instances
    }

    /// Forgives deaths permanently that still appear correlated when no more reports of them are expected.
    fn forgive_settled(&mut self, now: Instant) {
        let settled = self.settled();
        if self.recent.iter().all(|recent| now.since(recent.at) <= settled) {
            return;
        }
        let correlated = self.correlated();
        let old = self.recent.extract_if(.., |recent| now.since(recent.at) > settled);
        for recent in old.filter(|recent| correlated.contains(&recent.instance)) {
            for fingerprint in &recent.running {
                if let Some(record) = self.records.get_mut(fingerprint) {
                    record.forgive(&recent.instance, self.settings.max_forgiven);
                }
            }
        }
    }

    /// Marks the deaths of instances whose end was announced in all records.
    fn apply_announcements(&mut self) {
        for record in self.records.values_mut() {
            record.apply_announcements(&self.announcements);
        }
        self.parts.apply_announcements(&self.announcements);
    }

    /// Removes the oldest records beyond the capacity.
    fn evict(&mut self) {
        while self.records.len() > self.settings.capacity {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.latest());
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }
}
