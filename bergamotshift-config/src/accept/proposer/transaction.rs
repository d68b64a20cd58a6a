//! The transactions by which the head moves.

use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Write;

use crate::accept::record;
use crate::accept::record::Head;
use crate::accept::record::Proposal;
use crate::accept::record::Record;
use crate::accept::record::View;

/// Returns the transaction that keeps what is accepted and sets, or takes away, the proposal.
pub(super) fn set_proposal(view: View, proposed: Option<Proposal>) -> Vec<Write> {
    let accepted = view.head.accepted;
    vec![set_head(view.condition(), Head { accepted, proposed })]
}

/// Returns the transaction that makes the proposal the accepted version, if nothing moved since it was judged.
///
/// The failure: two proposers accept the same version, each its own content. The head's condition is enough against it
/// as long as nobody breaks the protocol; the version's row, written once, holds even then.
pub(super) fn accept(row: u64, record: &Record, checks: impl Iterator<Item = Write>) -> Vec<Write> {
    let head = Head {
        accepted: Some(record.revision),
        proposed: None,
    };
    let version = Write {
        key: record::version_key(record.revision.version),
        condition: Condition::Absent,
        change: Change::Put(record::encode(record)),
    };
    let mut writes = vec![set_head(record::condition(row), head), version];
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
