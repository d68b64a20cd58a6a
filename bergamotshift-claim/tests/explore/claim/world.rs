//! State of the model: the table's row, the requests and the messages in flight.

use bergamotshift_claim::prelude::*;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Write;
use driver::Driver;
use driver::Op;
use driver::Reply;

/// Message in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Message {
    Write(usize, Op, WriteKey),
    /// Write in flight whose sender does not await its ending.
    LateWrite(WriteKey),
    Read(usize, Op),
    Written(usize, Op, Finish),
    Rows(usize, Op, Reading),
    /// Request in flight to the endpoint.
    Call(usize),
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Reading {
    Nothing,
    Row(u64, Vec<u8>),
    Failure,
}

/// Version and body of a write, in a form that can be hashed.
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

/// Request of one caller with the key, and its driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Sending {
    pub(super) driver: Driver,
    pub(super) is_started: bool,
    pub(super) has_crashed: bool,
    pub(super) reply: Option<Reply>,
    /// Number of times that the driver requested to send.
    pub(super) sends: u8,
    /// Number of times that the endpoint executed the request.
    pub(super) runs: u8,
    /// Whether any request with the key had been executed when the reply was sent.
    pub(super) has_run_before_reply: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) is_past_deadline: bool,
    pub(super) row: Option<(u64, Vec<u8>)>,
    pub(super) sendings: Vec<Sending>,
    pub(super) messages: Vec<Message>,
    pub(super) faults: u8,
    pub(super) crashes: u8,
}

pub(super) const DEADLINE: Instant = Instant::from_secs(1);

impl World {
    pub(super) fn now(&self) -> Instant {
        if self.is_past_deadline { DEADLINE } else { Instant::ZERO }
    }

    pub(super) fn post(&mut self, message: Message) {
        self.messages.push(message);
        self.normalise();
    }

    /// Converts equivalent states into the same form.
    pub(super) fn normalise(&mut self) {
        let awaits = |index: usize, op| !self.sendings[index].has_crashed && self.sendings[index].driver.awaits(op);
        self.messages.retain(|message| match message {
            Message::Written(index, op, _) | Message::Rows(index, op, _) | Message::Read(index, op) => {
                awaits(*index, *op)
            }
            Message::Write(..) | Message::LateWrite(_) | Message::Call(_) => true,
        });
        let row_version = self.row.as_ref().map_or(0, |(version, _)| *version);
        for message in &mut self.messages {
            if let Message::Write(index, op, write) = message
                && !awaits(*index, *op)
            {
                *message = Message::LateWrite(write.clone());
            }
        }
        // A row's version only increases, so a write that conflicts now will always conflict.
        self.messages
            .retain(|message| !matches!(message, Message::LateWrite(write) if write.base < row_version));
        // The order of messages has no meaning, as any of them can be delivered next.
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
