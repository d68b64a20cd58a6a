//! Bounds of an exploration, the rules that it checks, and defects that show that each check can fail.

use bergamotshift_config::accept::Head;
use bergamotshift_config::accept::record;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;

/// Defect that is injected into the writes or reads of the state machines, to show that a rule can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Defect {
    /// The accepting transaction does not check the stage rows of the zones.
    NoZoneChecks,
    /// Writes of the head have no condition on its version.
    NoHeadCondition,
    /// The accepting transaction has no conditions.
    NoAcceptConditions,
    /// The proposer never reads the record of the version that it sent.
    NoRecord,
    /// An entry forgets the version in force when it restarts, although its configuration stays in force.
    ForgetsVersion,
    /// An entry treats the proposal as the accepted version.
    AppliesProposal,
}

/// Rule that must hold in every state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An entry switches only to a higher version.
    Monotonic,
    /// An accepted version was staged in each live zone, that is, each whose row changed within the zone timeout.
    Staged,
    /// The content of an accepted version never changes.
    OneContent,
    /// The head contains the last accepted version.
    HeadIsLast,
    /// Every version in force was accepted.
    Accepted,
    /// The outcome that an operator gets is true, and no change is accepted twice.
    TruthfulOutcome,
}

/// Bounds of an exploration: the participants, and how many steps and faults of each kind may occur.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    pub operators: usize,
    /// Number of zones: none or both.
    pub zones: usize,
    /// Whether both operators change the same file.
    pub same_file: bool,
    /// Whether entries exchange announcements.
    pub gossip: bool,
    pub steps: u8,
    pub lost: u8,
    pub delayed: u8,
    pub cuts: u8,
    pub restarts: u8,
    pub defect: Option<Defect>,
    /// The only rule to check; `None` checks all.
    pub only: Option<Rule>,
}

impl Bounds {
    pub(super) fn check(&self, rule: Rule, holds: bool) -> Result<(), Rule> {
        let is_checked = self.only.is_none_or(|only| only == rule);
        if holds || !is_checked { Ok(()) } else { Err(rule) }
    }
}

/// Injects the defect into the writes of a proposer.
pub(super) fn break_writes(writes: &mut Vec<Write>, defect: Option<Defect>) {
    let is_accepting = writes.len() > 1;
    match defect {
        Some(Defect::NoZoneChecks) => writes.retain(|write| write.change != Change::Check),
        Some(Defect::NoHeadCondition) if !is_accepting => writes[0].condition = Condition::Any,
        Some(Defect::NoAcceptConditions) if is_accepting => {
            writes.truncate(2);
            for write in writes {
                write.condition = Condition::Any;
            }
        }
        _ => {}
    }
}

/// Injects [`Defect::AppliesProposal`] into the rows that an entry reads.
pub(super) fn mark_proposal_as_accepted(rows: &mut [Option<Row>]) {
    let Some(Some(row)) = rows.first_mut() else { return };
    let mut head: Head = record::decode(row).expect("the head is JSON");
    head.accepted = head.proposed.map(|proposal| proposal.revision).or(head.accepted);
    row.body = super::json(&head);
}
