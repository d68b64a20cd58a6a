//! Checks of the rules.

use bergamotshift_config::accept::Head;
use bergamotshift_config::accept::View;
use bergamotshift_config::accept::proposer::Outcome;
use bergamotshift_config::accept::record;
use bergamotshift_config::accept::record::Id;
use bergamotshift_config::accept::record::Progress;
use bergamotshift_config::accept::record::Record;
use bergamotshift_config::accept::record::Stage;
use bergamotshift_core::prelude::*;

use super::Bounds;
use super::Rule;
use super::State;
use super::ZONES;
use super::timing;

impl State {
    pub(super) fn head(&self) -> Head {
        View::read(self.table.get(&record::head_key()).as_ref())
            .expect("the head is JSON")
            .head
    }

    pub(super) fn records(&self) -> Vec<Record> {
        let rows = self.table.partition(record::VERSIONS);
        rows.map(|(_, row)| record::decode(row).expect("records are JSON"))
            .collect()
    }

    /// Checks that the version that was just accepted is staged in each zone whose row changed within the zone timeout.
    pub(super) fn check_staged(&self, bounds: &Bounds) -> Result<(), Rule> {
        let Some(revision) = self.head().accepted else {
            return Ok(());
        };
        for (zone, changed_at) in ZONES.iter().zip(self.stage_changed_at).take(bounds.zones) {
            let row = self.table.get(&record::stage_key(&name::Zone::new(zone)));
            let stage: Option<Stage> = row.and_then(|row| record::decode(&row).ok());
            let staged =
                stage.is_some_and(|stage| stage.proposal.revision == revision && stage.progress == Progress::Staged);
            let timed_out = self.now.since(changed_at.max(self.proposed_at)) >= timing().zone_timeout;
            bounds.check(Rule::Staged, staged || timed_out)?;
        }
        Ok(())
    }

    /// Checks the rules in a state, given the state before it.
    pub(super) fn check(&self, before: &Self, bounds: &Bounds) -> Result<(), Rule> {
        let (old, new) = (before.records(), self.records());
        bounds.check(Rule::OneContent, new.starts_with(&old))?;
        let last = new.last().map(|record| record.revision);
        bounds.check(Rule::HeadIsLast, self.head().accepted == last)?;
        for revision in self.entries.iter().filter_map(|entry| entry.in_force) {
            bounds.check(Rule::Accepted, new.iter().any(|record| record.revision == revision))?;
        }
        for (index, operator) in self.operators.iter().enumerate() {
            let count = new.iter().filter(|record| record.id == Id::new(index as u128)).count();
            let is_truthful = match &operator.outcome {
                Some(Outcome::Accepted { .. }) => count == 1,
                None | Some(Outcome::Unknown) => count <= 1,
                Some(_) => count == 0,
            };
            bounds.check(Rule::TruthfulOutcome, is_truthful)?;
        }
        Ok(())
    }
}
