//! The rules that every state keeps.

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

    /// Checks that what was just accepted is staged in each zone whose row moved within the lapse.
    pub(super) fn check_staged(&self, bounds: &Bounds) -> Result<(), Rule> {
        let Some(revision) = self.head().accepted else {
            return Ok(());
        };
        for (zone, moved) in ZONES.iter().zip(self.moved).take(bounds.zones) {
            let row = self.table.get(&record::stage_key(&name::Zone::new(zone)));
            let stage: Option<Stage> = row.and_then(|row| record::decode(&row).ok());
            let staged =
                stage.is_some_and(|stage| stage.proposal.revision == revision && stage.progress == Progress::Staged);
            let lapsed = self.now.since(moved.max(self.proposed)) >= timing().zone_timeout;
            bounds.check(Rule::Staged, staged || lapsed)?;
        }
        Ok(())
    }

    /// Checks what must hold in every state, against the one before.
    pub(super) fn check(&self, before: &Self, bounds: &Bounds) -> Result<(), Rule> {
        let (old, new) = (before.records(), self.records());
        bounds.check(Rule::OneContent, new.starts_with(&old))?;
        let last = new.last().map(|record| record.revision);
        bounds.check(Rule::HeadIsLast, self.head().accepted == last)?;
        for revision in self.entries.iter().filter_map(|entry| entry.in_force) {
            bounds.check(Rule::Accepted, new.iter().any(|record| record.revision == revision))?;
        }
        for (place, operator) in self.operators.iter().enumerate() {
            let times = new.iter().filter(|record| record.id == Id::new(place as u128)).count();
            let true_told = match &operator.outcome {
                Some(Outcome::Accepted { .. }) => times == 1,
                None | Some(Outcome::Unknown) => times <= 1,
                Some(_) => times == 0,
            };
            bounds.check(Rule::Told, true_told)?;
        }
        Ok(())
    }
}
