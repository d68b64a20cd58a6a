//! One duty's lease, carried to the platform's table.

use std::collections::VecDeque;
use std::rc::Rc;

use bergamotshift_claim::driver::Unreachable;
use bergamotshift_claim::lease::Action;
use bergamotshift_claim::lease::Event;
use bergamotshift_claim::lease::Keeper;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Ending;
use bergamotshift_platform::Error;
use bergamotshift_platform::table::Table;
use rand_pcg::Pcg64Mcg;

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
