//! Entries as members of the fleet.

mod table;

use core::net::SocketAddr;

use bergamotshift_core::name;
use bergamotshift_core::vm::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::tag;
pub use table::Table;

/// State of a member as other members see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The member answers.
    #[default]
    Alive,
    /// The member missed a probe and can still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves; final for this incarnation.
    Left,
}

/// Gossiped record of one incarnation of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Name of the entry.
    pub name: name::Entry,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Number of the member's own refutations within this incarnation.
    pub version: u32,
    /// State of the member.
    pub state: State,
    /// Listening address of the member's link.
    pub address: SocketAddr,
    /// Availability zone of the member.
    pub zone: name::Zone,
}

impl Record {
    /// Returns the tag by which frames refer to this incarnation.
    pub fn tag(&self) -> tag::Long {
        tag::Long::of_incarnation(&self.name, self.incarnation.get())
    }

    /// Returns whether this record replaces `known`, which has the same name.
    ///
    /// A later incarnation always wins. Within an incarnation, `Left` is final; otherwise the highest version wins, and
    /// of equal versions the worse state. Every entry thus arrives at the same record in whatever order records arrive.
    pub fn supersedes(&self, known: &Self) -> bool {
        let rank = |record: &Self| {
            (
                record.incarnation,
                record.state == State::Left,
                record.version,
                record.state,
            )
        };
        rank(self) > rank(known)
    }

    /// Returns whether the member may be given work and asked questions.
    pub const fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }
}
