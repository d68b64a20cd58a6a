//! One duty's lease, carried to the platform's table.

use core::time::Duration;
use std::collections::VecDeque;
use std::rc::Rc;

use bergamotshift_claim::driver::Unreachable;
use bergamotshift_claim::lease::Action;
use bergamotshift_claim::lease::Event;
use bergamotshift_claim::lease::Keeper;
use bergamotshift_claim::lease::Word;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Ending;
use bergamotshift_platform::Error;
use bergamotshift_platform::table::Table;
use rand_pcg::Pcg64Mcg;
use tokio::time::timeout;

use super::clock::Clock;

/// Who has a duty changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This entry has it now, under this fencing number.
    Begun(u64),
    /// Somebody else has it.
    Ended,
}

/// Holds a duty's lease, or watches who does.
#[derive(Debug)]
pub struct Lease {
    keeper: Keeper,
    table: Rc<dyn Table>,
    clock: Clock,
    generator: Pcg64Mcg,
    wake: Instant,
    /// How the last call ended, when that was no answer.
    failure: Option<Error>,
}

impl Lease {
    /// Makes a lease that looks at once.
    pub fn new(keeper: Keeper, table: Rc<dyn Table>, clock: Clock, generator: Pcg64Mcg) -> Self {
        let wake = clock.now();
        Self {
            keeper,
            table,
            clock,
            generator,
            wake,
            failure: None,
        }
    }

    /// Returns the fencing number under which an order may leave now.
    ///
    /// `checks` tells whether whoever takes it refuses old numbers.
    pub fn permit(&self, checks: bool) -> Option<u64> {
        self.keeper.permit(self.clock.now(), checks)
    }

    /// Carries out a call under the lease, and gives it up when the lease ends.
    ///
    /// Failure: the cloud is silent, the holder is cut off, and a call that it began in time is answered or carried out
    /// when a successor holds the lease. Symptom: an order under an old fencing number undoes the successor's. What is
    /// given up here is dropped with its connection, so nothing of it can arrive later.
    ///
    /// # Errors
    ///
    /// Returns the call's error, or that it may have been carried out.
    pub async fn within<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        let ended = || Err(Error::Unknown("the lease ended before the answer".to_owned()));
        timeout(self.left(), call).await.unwrap_or_else(|_late| ended())
    }

    /// Returns why the last call of the table had no answer, if that was so.
    pub const fn failure(&self) -> Option<&Error> {
        self.failure.as_ref()
    }

    /// Does what is due, and returns what changed, in order.
    pub async fn step(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.clock.now() >= self.wake {
            self.drive(Event::Woke, &mut changes).await;
        }
        changes
    }

    /// Gives the duty up, with no order of this entry on its way any more.
    pub async fn resign(&mut self) {
        self.drive(Event::Resign, &mut Vec::new()).await;
    }

    /// Gives the duty up by word alone, with no order of this entry on its way any more; returns what changed.
    pub async fn give_up(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        self.drive(Event::GiveUp, &mut changes).await;
        changes
    }

    /// Takes in what another entry said of the lease just now.
    pub async fn heard(&mut self, word: Word) {
        self.drive(Event::Heard(word), &mut Vec::new()).await;
    }

    /// Returns what the other entries are to be told of the lease.
    pub fn word(&self) -> Option<Word> {
        self.keeper.word(self.clock.now())
    }

    /// Returns how long the lease stands if it is not renewed.
    pub fn left(&self) -> Duration {
        let ends = self.keeper.ends().unwrap_or(Instant::ZERO);
        ends.since(self.clock.now())
    }

    async fn drive(&mut self, event: Event, changes: &mut Vec<Change>) {
        let mut actions = VecDeque::from(self.on(event));
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Read(key) => {
                    let rows = self.table.get(vec![key]).await;
                    self.failure = rows.as_ref().err().cloned();
                    let row = rows.map(|rows| rows.into_iter().next().flatten());
                    actions.extend(self.on(Event::Rows(row.map_err(|_unreachable| Unreachable))));
                }
                Action::Write(write) => {
                    let ending = self.table.transact(vec![write]).await;
                    self.failure = match &ending {
                        Ending::Applied | Ending::Conflict(_) => None,
                        Ending::Refused => Some(Error::Refused("the row was not written".to_owned())),
                        Ending::Unknown => Some(Error::Unknown("the row may have been written".to_owned())),
                    };
                    actions.extend(self.on(Event::Written(ending)));
                }
                Action::Wake(at) => self.wake = at,
                Action::Begin { number } => changes.push(Change::Begun(number)),
                Action::End => changes.push(Change::Ended),
            }
        }
    }

    fn on(&mut self, event: Event) -> Vec<Action> {
        self.keeper.on(self.clock.now(), event, &mut self.generator)
    }
}
