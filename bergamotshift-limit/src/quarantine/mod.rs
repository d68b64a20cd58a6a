//! Quarantine: recognising a request that kills each endpoint it runs on.
//!
//! A request that runs on an endpoint when it dies earns a suspicion, kept under its content fingerprint so that the
//! caller's re-sends count. Suspected work runs alone; after two distinct deaths it is refused for a while. Deaths
//! that have another explanation do not count: announced ones, and several at once ([`Settings::wave`]).
//!
//! The control thread folds deaths into a [`Quarantine`] and publishes a [`Table`]; workers ask the table. Entries
//! exchange [`Suspicion`]s, whose merge is commutative and idempotent, so any order and repetition will do.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::quarantine::{Death, Quarantine, Settings, Verdict, Instance};
//!
//! let poison = Fingerprint::of("planner-llm", "POST", "/v1/completions", b"{}");
//! let mut quarantine = Quarantine::new(Settings::default());
//! for (second, vm) in [(1, "vm-1"), (9, "vm-2")] {
//!     let instance = Instance::new(name::Vm::from(vm), Incarnation::new(1));
//!     quarantine.record_death(Instant::from_secs(second), Death { instance, announced: false, running: vec![poison] });
//! }
//! let verdict = quarantine.table().verdict(Instant::from_secs(10), poison);
//! assert!(matches!(verdict, Verdict::Refused { .. }));
//! ```

mod record;
mod table;

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

pub use self::record::Attribution;
use self::record::Record;
use self::record::Spared;
pub use self::record::Suspicion;
pub use self::table::Table;
pub use self::table::Verdict;

/// One life of an endpoint's VM, the same on every entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// The VM's name.
    pub vm: name::Vm,
    /// Which life of that name.
    pub incarnation: Incarnation,
}

impl Instance {
    /// Makes a instance.
    pub const fn new(vm: name::Vm, incarnation: Incarnation) -> Self {
        Self { vm, incarnation }
    }
}

/// The end of an endpoint, as one entry saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Death {
    /// Who died.
    pub instance: Instance,
    /// Whether the platform or the endpoint had announced it.
    pub announced: bool,
    /// What ran there by this entry's doing.
    pub running: Vec<Fingerprint>,
}

/// When work is suspected and refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Distinct deaths after which work is refused.
    pub deaths: usize,
    /// How long refused work stays refused after its last death.
    pub hold: Duration,
    /// How long a death is remembered: the work runs alone until then.
    pub memory: Duration,
    /// Deaths within this time of each other may have one cause.
    pub window: Duration,
    /// This many deaths in the window, not explained by work already suspected, are a wave and do not count.
    pub wave: usize,
    /// How many deaths may be forgiven to one request because they lay in a wave.
    pub pardons: usize,
    /// Most fingerprints kept; the oldest go first.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            deaths: 2,
            hold: Duration::from_mins(10),
            memory: Duration::from_mins(20),
            window: Duration::from_secs(3),
            wave: 2,
            pardons: 4,
            capacity: 4_096,
        }
    }
}

impl Settings {
    /// Returns how long a death is kept: it counts for `memory`, and may be the first of a refusal that lasts `hold`.
    fn lifetime(&self) -> Duration {
        self.memory + self.hold
    }
}

#[derive(Clone, Debug)]
struct Recent {
    at: Instant,
    instance: Instance,
    explained: bool,
    running: BTreeSet<Fingerprint>,
}

/// Folds deaths into suspicions.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: Settings,
    records: BTreeMap<Fingerprint, Record>,
    recent: Vec<Recent>,
    announced: BTreeMap<Instance, Instant>,
}

impl Quarantine {
    /// Makes a quarantine that suspects nothing.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            recent: Vec::new(),
            announced: BTreeMap::new(),
        }
    }

    /// Notes the end of an endpoint; `running` is empty when nothing of this entry ran there.
    ///
    /// Deaths that hit no work of this entry belong here too: they show that a wave is under way.
    ///
    /// Failure: one request crashes whatever runs it, and its caller sends it again. Symptom: endpoints die one after
    /// the other until none is left. Two distinct deaths end it, counted by content and shared between entries.
    pub fn record_death(&mut self, now: Instant, death: Death) {
        self.expire(now);
        if death.announced {
            self.announce(now, death.instance);
            return;
        }
        if self.announced.contains_key(&death.instance) {
            return;
        }
        let running = death.running.into_iter().collect();
        self.note(now, &death.instance, running);
        self.evict();
    }

    /// Notes that an endpoint's end was announced; deaths already counted for it count no longer.
    ///
    /// The platform's list lags, so the notice may be heard after the connections broke.
    pub fn announce(&mut self, now: Instant, instance: Instance) {
        self.pardon(&instance);
        self.recent.retain(|recent| recent.instance != instance);
        self.announced.insert(instance, now);
    }

    /// Merges what another entry suspects.
    pub fn merge(&mut self, now: Instant, suspicions: &[Suspicion]) {
        for suspicion in suspicions {
            let record = self.records.entry(suspicion.fingerprint).or_default();
            record.merge(now, suspicion, self.settings.lifetime());
        }
        self.expire(now);
        for instance in self.announced.keys() {
            for record in self.records.values_mut() {
                record.pardon(instance);
            }
        }
        self.evict();
    }

    /// Returns what other entries should know.
    pub fn suspicions(&self, now: Instant) -> Vec<Suspicion> {
        let spared = self.spared();
        let export = |(fingerprint, record): (&Fingerprint, &Record)| record.export(*fingerprint, now, &spared);
        self.records.iter().map(export).collect()
    }

    /// Returns the table that workers ask.
    pub fn table(&self) -> Table {
        Table::new(&self.settings, &self.records, &self.spared())
    }

    /// Forgets what no verdict depends on any longer.
    pub fn expire(&mut self, now: Instant) {
        let lifetime = self.settings.lifetime();
        self.records.retain(|_, record| record.expire(now, lifetime));
        self.settle(now);
        self.announced.retain(|_, at| now.since(*at) <= lifetime);
    }

    fn note(&mut self, now: Instant, instance: &Instance, running: BTreeSet<Fingerprint>) {
        let explains = |fingerprint| {
            let record = self.records.get(fingerprint);
            record.is_some_and(|record| record.counts_beside(instance))
        };
        let explained = running.iter().any(explains);
        // One death is reported once for each request that ran there, by several threads and entries.
        if let Some(known) = self.recent.iter_mut().find(|recent| recent.instance == *instance) {
            known.running.extend(running.iter().copied());
            known.explained |= explained;
        } else {
            let running = running.clone();
            self.recent.push(Recent {
                at: now,
                instance: instance.clone(),
                explained,
                running,
            });
        }
        for fingerprint in running {
            self.records.entry(fingerprint).or_default().count(now, instance);
        }
    }

    /// Returns the recent deaths that have a common cause, as far as is known by now.
    ///
    /// Failure: a zone is lost without notice and each request there is next to a death, or to two when it was moved
    /// within the zone. Symptom: innocent requests refused. Deaths of endpoints that ran nothing suspected cannot be
    /// one request's doing, so two of them in a window show another cause. Two poisonous requests that start in the
    /// same window look alike; the number of pardons bounds what they cost.
    ///
    /// Failure: an innocent request reports its endpoint's death before the guilty one that ran there too. Symptom: the
    /// death looks unexplained, two of them look like a wave, and the guilty one goes on to kill a third endpoint. So
    /// deaths are spared for the time being, and forgiven for good when their reports must be in.
    fn spared(&self) -> Spared {
        let Settings {
            window, wave, pardons, ..
        } = self.settings;
        let mut instances = BTreeSet::new();
        let (mut first, mut marked, mut unexplained) = (0, 0, 0);
        for (index, last) in self.recent.iter().enumerate() {
            unexplained += usize::from(!last.explained);
            while last.at.since(self.recent[first].at) > window {
                unexplained -= usize::from(!self.recent[first].explained);
                first += 1;
            }
            if unexplained >= wave {
                let within = &self.recent[first.max(marked)..=index];
                instances.extend(within.iter().map(|recent| recent.instance.clone()));
                marked = index + 1;
            }
        }
        Spared { instances, pardons }
    }

    /// Forgives for good what still lies in a wave when nothing more is to be heard of it.
    fn settle(&mut self, now: Instant) {
        let settled = self.settings.window * 2;
        if self.recent.iter().all(|recent| now.since(recent.at) <= settled) {
            return;
        }
        let spared = self.spared();
        let old = self.recent.extract_if(.., |recent| now.since(recent.at) > settled);
        for recent in old.filter(|recent| spared.instances.contains(&recent.instance)) {
            for fingerprint in &recent.running {
                if let Some(record) = self.records.get_mut(fingerprint) {
                    record.forgive(&recent.instance, self.settings.pardons);
                }
            }
        }
    }

    fn pardon(&mut self, instance: &Instance) {
        for record in self.records.values_mut() {
            record.pardon(instance);
        }
    }

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
