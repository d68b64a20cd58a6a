//! The state of the model: the table's row, the sendings and the messages on their way.

use bergamotshift_claim::prelude::*;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Write;
use driver::Driver;
use driver::Op;
use driver::Reply;

/// A driver's action on its way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Message {
    Write(usize, Op, WriteKey),
    /// A write whose sender has been told that the answer was lost.
    LateWrite(WriteKey),
    Read(usize, Op),
    Written(usize, Op, Finish),
    Rows(usize, Op, Seen),
    /// A request on its way to the endpoint.
    Call(usize),
}

/// What a read brought.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Seen {
    Nothing,
    Row(u64, Vec<u8>),
    Failure,
}

/// What a write does, in a form that can be hashed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct WriteKey {
    pub(super) base: u64,
    pub(super) body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Finish {
    Applied,
    Conflict,
    Refused,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Sending {
    pub(super) driver: Driver,
    pub(super) asked: bool,
    pub(super) crashed: bool,
    pub(super) reply: Option<Reply>,
    /// How often the driver gave the request out for sending.
    pub(super) sends: u8,
    pub(super) runs: u8,
    /// Whether any sending had run when the reply was given.
    pub(super) run_before_reply: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) late: bool,
    pub(super) row: Option<(u64, Vec<u8>)>,
    pub(super) sendings: Vec<Sending>,
    pub(super) messages: Vec<Message>,
    pub(super) faults: u8,
    pub(super) crashes: u8,
}

pub(super) const DEADLINE: Instant = Instant::from_secs(1);

impl World {
    pub(super) fn now(&self) -> Instant {
        if self.late { DEADLINE } else { Instant::ZERO }
    }

    pub(super) fn post(&mut self, message: Message) {
        self.messages.push(message);
        self.tidy();
    }

    /// Brings states that differ in nothing that matters into one form.
    pub(super) fn tidy(&mut self) {
        let awaits = |place: usize, op| !self.sendings[place].crashed && self.sendings[place].driver.awaits(op);
        self.messages.retain(|message| match message {
            Message::Written(place, op, _) | Message::Rows(place, op, _) | Message::Read(place, op) => {
                awaits(*place, *op)
            }
            Message::Write(..) | Message::LateWrite(_) | Message::Call(_) => true,
        });
        let stands = self.row.as_ref().map_or(0, |(version, _)| *version);
        for message in &mut self.messages {
            if let Message::Write(place, op, write) = message
                && !awaits(*place, *op)
            {
                *message = Message::LateWrite(write.clone());
            }
        }
        // A row's version only grows, so a write that is too late now stays so.
        self.messages
            .retain(|message| !matches!(message, Message::LateWrite(write) if write.base < stands));
        // The order of messages carries no meaning: each can be the next to arrive.
        self.messages.sort();
    }

    pub(super) fn apply(&mut self, write: &WriteKey) -> Finish {
        let version = self.row.as_ref().map_or(0, |(version, _)| *version);
        if version != write.base {
            return Finish::Conflict;
        }
        self.row = Some((version + 1, write.body.clone()));
        Finish::Applied
    }
}

pub(super) fn write_key(write: Write) -> WriteKey {
    let base = match write.condition {
        Condition::Absent => 0,
        Condition::Version(version) => version,
        Condition::Any => panic!("a claim is never written unconditionally"),
    };
    let Change::Put(body) = write.change else {
        panic!("a claim is only ever put");
    };
    WriteKey { base, body }
}
