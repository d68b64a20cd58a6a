//! Transactions that write the head row.

use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Write;

use crate::accept::record;
use crate::accept::record::Head;
use crate::accept::record::Proposal;
use crate::accept::record::Record;
use crate::accept::record::View;

/// Returns the transaction that sets or removes the proposal and keeps the accepted version.
pub(super) fn set_proposal(view: View, proposed: Option<Proposal>) -> Vec<Write> {
    let accepted = view.head.accepted;
    vec![set_head(view.condition(), Head { accepted, proposed })]
}

/// Returns the transaction that makes the proposal the accepted version, if no row has changed since it was read.
///
/// Two proposers must never accept different contents under the same version. The condition on the head row prevents it
/// as long as every proposer follows the protocol. The row of the version, which is written only if it is absent,
/// prevents it even if one does not.
pub(super) fn accept(row: u64, record: &Record, checks: impl Iterator<Item = Write>) -> Vec<Write> {
    let head = Head {
        accepted: Some(record.revision),
        proposed: None,
    };
    let history = Write {
        key: record::version_key(record.revision.version),
        condition: Condition::Absent,
        change: Change::Put(record::encode(record)),
    };
    let mut writes = vec![set_head(record::condition(row), head), history];
    writes.extend(checks);
    writes
}

fn set_head(condition: Condition, head: Head) -> Write {
    Write {
        key: record::head_key(),
        condition,
        change: Change::Put(record::encode(&head)),
    }
}
