//! How far an exploration goes, what it checks, and the faults that show a check able to fail.

use bergamotshift_config::accept::Head;
use bergamotshift_config::accept::record;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;

/// A fault put into the kernels' writes or reads, to show that a property can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Defect {
    /// The accepting transaction does not check the zones' rows.
    NoZoneChecks,
    /// Writes of the head take no notice of its version.
    NoHeadCondition,
    /// The accepting transaction has no conditions at all.
    NoAcceptConditions,
    /// The proposer never sees the record of the version it sent.
    NoRecord,
    /// An entry forgets the version in force and goes on.
    Forgetful,
    /// An entry takes what is proposed for accepted.
    Eager,
}

/// What has to hold in every state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An entry only ever moves to a higher version.
    Upwards,
    /// What is accepted was staged in each live zone: one whose row moved within the lapse.
    Staged,
    /// A version once accepted keeps its content.
    OneContent,
    /// The head holds the last accepted version.
    HeadIsLast,
    /// What is in force was accepted.
    Accepted,
    /// What an operator is told is true, and no change is accepted twice.
    Told,
}

/// How much of what may happen, happens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    pub operators: usize,
    /// How many zones there are: none, or both.
    pub zones: usize,
    /// Whether both operators change the same file.
    pub same_file: bool,
    /// Whether entries tell each other what they know.
    pub gossip: bool,
    pub steps: u8,
    pub lost: u8,
    pub late: u8,
    pub cuts: u8,
    pub restarts: u8,
    pub defect: Option<Defect>,
    /// The only rule to be checked; missing means all.
    pub only: Option<Rule>,
}

impl Bounds {
    pub(super) fn check(&self, rule: Rule, holds: bool) -> Result<(), Rule> {
        let counts = self.only.is_none_or(|only| only == rule);
        if holds || !counts { Ok(()) } else { Err(rule) }
    }
}

/// Puts the defect into a proposer's writes.
pub(super) fn break_writes(writes: &mut Vec<Write>, defect: Option<Defect>) {
    let accepts = writes.len() > 1;
    match defect {
        Some(Defect::NoZoneChecks) => writes.retain(|write| write.change != Change::Check),
        Some(Defect::NoHeadCondition) if !accepts => writes[0].condition = Condition::Any,
        Some(Defect::NoAcceptConditions) if accepts => {
            writes.truncate(2);
            for write in writes {
                write.condition = Condition::Any;
            }
        }
        _ => {}
    }
}

/// Puts the eager entry's defect into what it reads.
pub(super) fn take_proposed_for_accepted(rows: &mut [Option<Row>]) {
    let Some(Some(row)) = rows.first_mut() else { return };
    let mut head: Head = record::decode(row).expect("the head is JSON");
    head.accepted = head.proposed.map(|proposal| proposal.revision).or(head.accepted);
    row.body = super::json(&head);
}
