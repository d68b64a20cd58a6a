//! Lease of a duty, kept in the platform's table.

use core::time::Duration;
use std::collections::VecDeque;
use std::rc::Rc;

use bergamotshift_claim::driver::Unreachable;
use bergamotshift_claim::lease::Action;
use bergamotshift_claim::lease::Event;
use bergamotshift_claim::lease::Keeper;
use bergamotshift_claim::lease::Notice;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Ending;
use bergamotshift_platform::Error;
use bergamotshift_platform::table::Table;
use rand_pcg::Pcg64Mcg;
use tokio::time::timeout;

use super::clock::Clock;

/// Change of a duty's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This entry holds it now, under this fencing number.
    Begun(u64),
    /// This entry does not hold it any more.
    Ended,
}

/// Lease of a duty, which this entry holds, or watches while another entry holds it.
#[derive(Debug)]
pub struct Lease {
    keeper: Keeper,
    table: Rc<dyn Table>,
    clock: Clock,
    generator: Pcg64Mcg,
    wake: Instant,
    /// Error of the last call to the table, if that had no answer.
    failure: Option<Error>,
}

impl Lease {
    /// Creates a lease whose row is read with the first step.
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

    /// Returns the fencing number under which an order may be sent now.
    ///
    /// `checks` says whether its receiver refuses old numbers.
    pub fn permit(&self, checks: bool) -> Option<u64> {
        self.keeper.permit(self.clock.now(), checks)
    }

    /// Makes a call under the lease, and cancels it when the lease ends.
    ///
    /// A cancelled call is dropped with its connection, so nothing of it can arrive later. Otherwise, if the cloud does
    /// not answer or the holder is cut off, a call that began in time could be executed when a successor holds the
    /// lease, and an order under an old fencing number would undo the successor's.
    ///
    /// # Errors
    ///
    /// Returns the call's error, or [`Error::Unknown`] if it was cancelled and may have been executed.
    pub async fn within<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        let ended = || Err(Error::Unknown("the lease ended before the answer".to_owned()));
        timeout(self.remaining(), call).await.unwrap_or_else(|_late| ended())
    }

    /// Returns the error of the last call to the table, if that had no answer.
    pub const fn failure(&self) -> Option<&Error> {
        self.failure.as_ref()
    }

    /// Performs the actions that are due, and returns the changes in order.
    pub async fn step(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.clock.now() >= self.wake {
            self.drive(Event::Woke, &mut changes).await;
        }
        changes
    }

    /// Releases the duty in the table; none of this entry's orders may be in flight any more.
    pub async fn resign(&mut self) {
        self.drive(Event::Resign, &mut Vec::new()).await;
    }

    /// Gives the duty up without a write to the table, and returns the changes; none of this entry's orders may be in
    /// flight any more.
    pub async fn give_up(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        self.drive(Event::GiveUp, &mut changes).await;
        changes
    }

    /// Handles another entry's notice about the lease that was received just now.
    pub async fn receive(&mut self, notice: Notice) {
        self.drive(Event::Received(notice), &mut Vec::new()).await;
    }

    /// Returns the notice about the lease to send to the other entries.
    pub fn notice(&self) -> Option<Notice> {
        self.keeper.notice(self.clock.now())
    }

    /// Returns the time until the lease ends if it is not renewed.
    pub fn remaining(&self) -> Duration {
        let ends = self.keeper.expires_at().unwrap_or(Instant::ZERO);
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
                    actions.extend(self.answered(Event::Rows(row.map_err(|_unreachable| Unreachable))));
                }
                Action::Write(write) => {
                    let ending = self.table.transact(vec![write]).await;
                    self.failure = match &ending {
                        Ending::Applied | Ending::Conflict(_) => None,
                        Ending::Refused => Some(Error::Refused("the row was not written".to_owned())),
                        Ending::Unknown => Some(Error::Unknown("the row may have been written".to_owned())),
                    };
                    actions.extend(self.answered(Event::Written(ending)));
                }
                Action::Wake(at) => self.wake = at,
                Action::Begin { number } => changes.push(Change::Begun(number)),
                Action::End => changes.push(Change::Ended),
            }
        }
    }

    /// Handles the ending of a call, after the era in which the table answered it.
    fn answered(&mut self, event: Event) -> Vec<Action> {
        let mut actions = self.on(Event::Era(self.table.era()));
        actions.extend(self.on(event));
        actions
    }

    fn on(&mut self, event: Event) -> Vec<Action> {
        self.keeper.on(self.clock.now(), event, &mut self.generator)
    }
}
