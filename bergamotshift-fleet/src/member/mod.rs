//! Entries as members of the fleet.

mod table;

use core::net::SocketAddr;

use bergamotshift_core::name;
use bergamotshift_core::vm::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::tag;
pub use table::Table;

/// What is thought of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// It answers.
    #[default]
    Alive,
    /// It missed a probe and may still refute that.
    Suspect,
    /// It refuted nothing in time.
    Dead,
    /// It said itself that it leaves; final for this incarnation.
    Left,
}

/// One life of one entry, as it is told from entry to entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The entry's name.
    pub name: name::Entry,
    /// Which life of the name.
    pub incarnation: Incarnation,
    /// Counts the member's own refutations within this life.
    pub version: u32,
    /// What is thought of it.
    pub state: State,
    /// Where its link listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
}

impl Record {
    /// Returns the tag by which frames name this life.
    pub fn tag(&self) -> tag::Long {
        tag::Long::of_life(&self.name, self.incarnation.get())
    }

    /// Returns whether this record replaces `known`, which has the same name.
    ///
    /// A later life always wins. Within a life its own farewell is final; otherwise the member's last refutation
    /// wins, and between equals the worse state, so that every entry settles on the same record in any order.
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
