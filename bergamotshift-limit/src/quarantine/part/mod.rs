//! Detection of prompt parts that crash endpoints, whatever else their requests hold.
//!
//! Requests that share such a part may have nothing else in common, so suspicions of whole requests never meet. Here a
//! death accuses the parts of all requests whose answers had not begun. Sound requests were waiting there too, and
//! share parts with the crashing ones; three rules tell them apart:
//!
//! - An answer that begins with a part clears it of all deaths before.
//! - A part is refused only after several deaths that were not simultaneous. Simultaneous ones have a common cause.
//! - The parts that are refused are those that explain the deaths, those without any answer first. A death that is
//!   explained accuses no other part.
//!
//! A refused part cannot be cleared by answers, so it is tried from time to time ([`Verdict::Trial`]): at first by few
//! entries, and by more with every turn that brings no news. Failed trials double the time of refusal.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::quarantine::{Completed, Instance, Quarantine, Settings, part};
//!
//! let [caller, crashing] = [1, 2].map(|id| Fingerprint::of_part("planner-llm", id));
//! let parts = [part::Part::new(caller, 0), part::Part::new(crashing, 1)];
//! let answered = Completed::default();
//! let mut quarantine = Quarantine::new(Settings::default());
//! for second in 1..=3 {
//!     let instance = Instance::new(name::Vm::new(format!("vm-{second}")), Incarnation::new(1));
//!     quarantine.record_lost_parts(Instant::from_secs(second), &instance, &parts, true);
//!     answered.record(Instant::from_secs(second) + part::SETTLED_AFTER, caller);
//! }
//! quarantine.clear_answered_parts(&answered);
//! let table = quarantine.part_table(part::Entry::default());
//! let now = Instant::from_secs(4);
//! assert!(matches!(table.verdict(now, &[crashing]), part::Verdict::Refused { .. }));
//! assert_eq!(table.verdict(now, &[caller]), part::Verdict::Clear);
//! ```

mod accusation;
mod evidence;
mod table;

use core::cmp::Reverse;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bergamotshift_core::prelude::*;

use self::evidence::Evidence;
pub use self::evidence::Suspicion;
pub use self::table::Entry;
pub use self::table::Table;
use self::table::Trial;
pub use self::table::Verdict;
use super::Attribution;
use super::Instance;

/// Time for which an answer has to go on until it shows that its request does not crash the endpoint at the beginning.
pub const SETTLED_AFTER: Duration = Duration::from_millis(250);

/// Time span within which deaths count as simultaneous.
const SIMULTANEOUS: Duration = Duration::from_millis(200);

/// Number of deaths that were not simultaneous from which a part is refused.
const DEATHS: usize = 3;

/// Time for which a death counts.
const MEMORY: Duration = Duration::from_mins(20);

/// Time for which a part is refused after its last death if no answer with it is known.
const HOLD: Duration = Duration::from_mins(1);

/// Time for which a part is refused after its last death if answers with it began before.
///
/// Such a part is more likely sound, and common: when a whole service is down, nothing clears the parts that all its
/// requests share.
const ANSWERED_HOLD: Duration = Duration::from_secs(1);

/// Time of one turn of trials of a part without any answer: a request crashes an endpoint and most entries learn of it.
const TURN: Duration = Duration::from_secs(2);

/// Time of one turn of trials of a part that was answered before: most entries learn of an answer.
const ANSWERED_TURN: Duration = Duration::from_millis(500);

/// Maximum time for which a part is refused after a failed trial.
const MAX_HOLD: Duration = Duration::from_mins(10);

/// Time for which the evidence on a cleared part is kept, so that all entries learn that it is cleared.
const CLEARED_TTL: Duration = Duration::from_secs(15);

/// Maximum number of parts with evidence; those with the oldest deaths are evicted first.
const CAPACITY: usize = 1_024;

/// Maximum number of parts that an entry tells others of at once.
const MAX_TOLD: usize = 32;

/// Part of a prompt at a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part {
    /// Fingerprint of the service and the part's content.
    pub fingerprint: Fingerprint,
    /// Number of parts before it in the prompt.
    pub depth: u8,
}

impl Part {
    /// Creates a part.
    pub const fn new(fingerprint: Fingerprint, depth: u8) -> Self {
        Self { fingerprint, depth }
    }
}

/// Evidence on parts that were lost with endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Parts {
    evidence: BTreeMap<Fingerprint, Evidence>,
    /// Trials of refused parts, which outlive the tables that workers read.
    trials: BTreeMap<Fingerprint, Arc<Trial>>,
}

/// Times at which registrations of instances were removed without an announcement.
pub(super) type Removals = BTreeMap<Instance, Instant>;

impl Parts {
    /// Adds a death to the evidence on these parts.
    pub(super) fn record(&mut self, at: Instant, instance: &Instance, parts: &[Part], attribution: Attribution) {
        for part in parts {
            let evidence = self.evidence.entry(part.fingerprint).or_default();
            evidence.add(at, instance, part.depth, attribution);
        }
        self.evict();
    }

    /// Merges the evidence of another entry.
    pub(super) fn merge(&mut self, now: Instant, suspicions: &[Suspicion]) {
        for suspicion in suspicions {
            // Entries that forgot a cleared part do not need it again.
            if suspicion.is_cleared() && !self.evidence.contains_key(&suspicion.fingerprint) {
                continue;
            }
            let evidence = self.evidence.entry(suspicion.fingerprint).or_default();
            evidence.merge(now, suspicion, MEMORY);
        }
        self.evict();
    }

    /// Clears parts of the deaths before the last answer; `latest_answer` returns its time.
    pub(super) fn clear(&mut self, latest_answer: impl Fn(Fingerprint) -> Option<Instant>) {
        for (fingerprint, evidence) in &mut self.evidence {
            if let Some(at) = latest_answer(*fingerprint) {
                evidence.clear(at);
            }
        }
    }

    /// Marks the deaths of instances whose end was announced.
    pub(super) fn apply_announcements(&mut self, announcements: &BTreeMap<Instance, Instant>) {
        for evidence in self.evidence.values_mut() {
            evidence.apply_announcements(announcements);
        }
    }

    /// Removes evidence that no verdict depends on any more.
    pub(super) fn expire(&mut self, now: Instant, removals: &Removals) {
        self.evidence
            .retain(|_, evidence| evidence.expire(now, removals, MEMORY, CLEARED_TTL));
    }

    /// Returns the evidence to send to other entries: on the parts that are refused, on those with deaths that these do not
    /// explain, and on those that were cleared.
    pub(super) fn suspicions(&self, now: Instant, removals: &Removals) -> Vec<Suspicion> {
        let accused = accusation::accuse(&self.evidence, removals);
        let refused: BTreeSet<Fingerprint> = accused.iter().map(|accused| accused.fingerprint).collect();
        let explained = accusation::explained(&self.evidence, &refused);
        let told = self.evidence.iter().filter_map(|(fingerprint, evidence)| {
            let is_refused = refused.contains(fingerprint);
            let unexplained = evidence.unexplained(removals, &explained);
            let is_news = is_refused || !unexplained.is_empty() || evidence.is_cleared(removals);
            is_news.then_some((
                (is_refused, unexplained.len(), evidence.latest()),
                fingerprint,
                evidence,
            ))
        });
        let mut told: Vec<_> = told.collect();
        told.sort_by_key(|(rank, ..)| Reverse(*rank));
        told.truncate(MAX_TOLD);
        told.into_iter()
            .map(|(_, fingerprint, evidence)| evidence.export(*fingerprint, now))
            .collect()
    }

    /// Returns the table for the workers of an entry.
    pub(super) fn table(&mut self, removals: &Removals, entry: Entry) -> Table {
        let accused = accusation::accuse(&self.evidence, removals);
        let is_accused = |fingerprint: &Fingerprint| accused.iter().any(|one| one.fingerprint == *fingerprint);
        self.trials.retain(|fingerprint, _| is_accused(fingerprint));
        for accused in &accused {
            if let Some(evidence) = self.evidence.get_mut(&accused.fingerprint) {
                evidence.mark_refused();
            }
        }
        let rows = accused.into_iter().map(|accused| {
            let trial = Arc::clone(self.trials.entry(accused.fingerprint).or_default());
            (accused, trial)
        });
        Table::new(entry, rows)
    }

    /// Returns the deaths that accuse a part, and whether answers with it began before.
    pub(super) fn tally(&self, fingerprint: Fingerprint, removals: &Removals) -> Tally {
        let evidence = self.evidence.get(&fingerprint);
        evidence.map_or_else(Tally::default, |evidence| Tally {
            deaths: evidence.accusing(removals).count(),
            is_answered: evidence.answered().is_some(),
        })
    }

    /// Returns the number of parts with evidence.
    pub(super) fn len(&self) -> usize {
        self.evidence.len()
    }

    /// Removes the evidence with the oldest deaths beyond the capacity.
    fn evict(&mut self) {
        while self.evidence.len() > CAPACITY {
            let oldest = self.evidence.iter().min_by_key(|(_, evidence)| evidence.latest());
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.evidence.remove(&fingerprint);
        }
    }
}

/// Evidence on one part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of deaths that accuse it.
    pub deaths: usize,
    /// Whether answers with it are known to have begun.
    pub is_answered: bool,
}
