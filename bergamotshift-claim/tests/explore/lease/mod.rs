//! The control lease protocol: two entries, one duty, orders that pause on their way to endpoints.

mod steps;
mod tests;

use core::time::Duration;

use bergamotshift_claim::lease;
use bergamotshift_claim::lease::Keeper;
use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use smol_str::SmolStr;

use crate::search;
use crate::search::Model;

/// A fault put into the test's own wrapper around the keeper, to show that the properties can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Defect {
    None,
    /// A successor gives orders at once.
    GivesOrdersAtOnce,
    /// A process pauses longer than it was told that processes do.
    PausesLonger,
    /// The lease is taken whatever the row's version is.
    TakesUnconditionally,
    /// The lease is renewed whatever the row's version is.
    RenewsUnconditionally,
    /// What a holder said of its lease is believed whatever the row's version is.
    BelievesOldWords,
    /// A holder gives up while an order is on its way, and goes on giving orders.
    GivesUpInWord,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Message {
    Write(usize, Write),
    /// A write whose sender has been told that the answer was lost.
    Late(Write),
    Written(usize, Ending),
    Read(usize),
    Rows(usize, Option<Row>, bool),
    /// What the other process said of its lease.
    Notice(usize, lease::Notice),
}

/// An order on its way to an endpoint that ignores its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Order {
    pub(super) number: u64,
    pub(super) from: usize,
    pub(super) given: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process {
    pub(super) keeper: Keeper,
    pub(super) due: Option<Instant>,
    pub(super) resigned: bool,
    /// How many words of its lease it may still say.
    pub(super) words: u8,
    /// Whether it may still give up without telling the table.
    pub(super) gives_up: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) time: u8,
    pub(super) row: Option<Row>,
    pub(super) processes: Vec<Process>,
    pub(super) messages: Vec<Message>,
    pub(super) orders: Vec<Order>,
    pub(super) faults: u8,
    /// The highest number among the orders that arrived.
    pub(super) arrived: u64,
    /// The numbers under which processes began, and which process did.
    pub(super) begun: Vec<(u64, usize)>,
    pub(super) broken: Option<&'static str>,
}

pub(super) struct Leases {
    pub(super) end: u8,
    pub(super) pause: u8,
    pub(super) faults: u8,
    pub(super) resigns: bool,
    /// How many words of its lease each process may say.
    pub(super) words: u8,
    /// Whether each process may give up once.
    pub(super) gives_up: bool,
    pub(super) defect: Defect,
}

impl World {
    pub(super) fn now(&self) -> Instant {
        Instant::from_secs(u64::from(self.time))
    }

    pub(super) fn apply(&mut self, write: &Write) -> Ending {
        let version = self.row.as_ref().map(|row| row.version);
        let holds = match write.condition {
            Condition::Absent => version.is_none(),
            Condition::Version(wanted) => version == Some(wanted),
            Condition::Any => true,
        };
        let Change::Put(body) = &write.change else {
            panic!("a lease is only ever put");
        };
        if !holds {
            return Ending::Conflict(vec![0]);
        }
        let before = self.row.as_ref().map_or(0, number);
        let row = Row {
            version: version.unwrap_or(0) + 1,
            body: body.clone(),
        };
        if number(&row) < before {
            self.broken = Some("numbers grow");
        }
        self.row = Some(row);
        Ending::Applied
    }

    pub(super) fn begin(&mut self, number: u64, place: usize) {
        if self.begun.iter().any(|(begun, _)| *begun == number) {
            self.broken = Some("one holder under each number");
        }
        self.begun.push((number, place));
        self.begun.sort_unstable();
    }

    pub(super) fn arrive(&mut self, order: Order) {
        if order.number < self.arrived {
            self.broken = Some("no old order after the successor's first");
        }
        self.arrived = self.arrived.max(order.number);
    }

    pub(super) fn post(&mut self, message: Message) {
        self.messages.push(message);
        self.messages.sort_by_cached_key(search::fingerprint);
    }
}

fn number(row: &Row) -> u64 {
    lease::Record::decode(&row.body).unwrap().number
}

impl Model for Leases {
    type State = World;

    fn first(&self) -> World {
        let second = Duration::from_secs(1);
        let waited = match self.defect {
            Defect::GivesOrdersAtOnce => Duration::ZERO,
            Defect::PausesLonger => second * u32::from(self.pause - 1),
            _ => second * u32::from(self.pause),
        };
        let settings = lease::Settings {
            length: second * 2,
            renewal_interval: second,
            margin: Duration::ZERO,
            max_order_delay: waited,
            poll_interval: second,
            backoff_limit: second,
            jitter_percent: 0,
            cooldown_until: Instant::ZERO,
        };
        let process = |place: u128| {
            let life = attempt::Id::new(place);
            let keeper = Keeper::new(settings, SmolStr::new_static("duty"), "e".into(), life);
            let due = Some(Instant::ZERO);
            Process {
                keeper,
                due,
                resigned: false,
                words: self.words,
                gives_up: self.gives_up,
            }
        };
        World {
            time: 0,
            row: None,
            processes: vec![process(1), process(2)],
            messages: Vec::new(),
            orders: Vec::new(),
            faults: self.faults,
            arrived: 0,
            begun: Vec::new(),
            broken: None,
        }
    }

    fn steps(&self, state: &World, found: &mut dyn FnMut(String, World)) {
        self.process_steps(state, found);
        self.network_steps(state, found);
    }

    fn broken(&self, state: &World) -> Option<&'static str> {
        state.broken
    }
}
