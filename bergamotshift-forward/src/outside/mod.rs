//! What the forwarding daemon needs from the outside, beside the table: traits that an adapter implements.

use core::fmt::Debug;
use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;

use bergamotshift_core::plugin;
use bergamotshift_core::plugin::Named;
use bergamotshift_core::prelude::*;
use bergamotshift_platform::Error;
use bergamotshift_platform::Future;
use bergamotshift_platform::table::Table;
use bergamotshift_rollout::Order as Rollout;
use bergamotshift_rollout::order::State;
use smol_str::SmolStr;
use thiserror::Error as ThisError;

use crate::dialect::Dialect;
use crate::document::Document;
use crate::endpoint::Change;

/// A place in a history of changes; grows with each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor(pub u64);

/// Why changes cannot be told.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Gap {
    /// The history after the cursor is gone; everything has to be read anew.
    #[error("the history after the cursor is gone")]
    Truncated,
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] Error),
}

/// What operators wrote.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instructions {
    /// Their document, if it is there, or changed.
    pub document: Option<Document>,
    /// Their orders to roll out new versions, with what they were told of each.
    pub rollouts: Vec<(Rollout, State)>,
    /// Why an order cannot be read, by the service whose it is.
    pub unreadable: Vec<(name::Service, Error)>,
}

/// Where the operators keep their document.
pub trait Operators: Debug {
    /// Reads the newest document, if there is one, and the orders that stand.
    ///
    /// # Errors
    ///
    /// Returns why it could not be read.
    fn read(&self) -> Future<'_, Result<(Instructions, Cursor), Error>>;

    /// Waits until operators write something, at most `wait`, and returns what is new.
    ///
    /// # Errors
    ///
    /// Returns why nothing is known of changes.
    fn wait_for_change(&self, after: Cursor, wait: Duration) -> Future<'_, Result<(Instructions, Cursor), Gap>>;

    /// Tells the operators how far an order is, unless they were told how it ended; returns what they know now.
    ///
    /// # Errors
    ///
    /// Returns why they may not have been told.
    fn report_rollout(&self, order: Rollout, state: State) -> Future<'_, Result<State, Error>>;
}

/// Where endpoints register.
pub trait Registry: Debug {
    /// Reads all registrations as of one moment; none of them is [`Change::Removed`].
    ///
    /// # Errors
    ///
    /// Returns why they could not be read.
    fn registrations(&self) -> Future<'_, Result<(Vec<Change>, Cursor), Error>>;

    /// Returns what changed after a cursor, at once.
    ///
    /// # Errors
    ///
    /// Returns why nothing is known of changes.
    fn changes(&self, after: Cursor) -> Future<'_, Result<(Vec<Change>, Cursor), Gap>>;
}

/// Who gives an order, so that the receiver can tell an old holder of the duty from the current one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencingToken {
    /// The entry.
    pub entry: name::Entry,
    /// The fencing number.
    pub number: u64,
}

/// How many requests of each organisation began to run within one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The window's number, counted in windows since the start of 1970.
    pub window: u64,
    /// The requests by organisation.
    pub counts: BTreeMap<name::Organisation, u64>,
}

/// How many endpoints are wanted somewhere.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// The service.
    pub service: name::Service,
    /// The availability zone.
    pub zone: name::Zone,
    /// The market they are bought on; the other market's count stays as it is.
    pub market: Market,
    /// How many.
    pub count: u32,
}

/// The calls that one entry at a time makes for all.
pub trait Duties: Debug {
    /// Reports a window's usage.
    ///
    /// # Errors
    ///
    /// Returns why it was not taken.
    fn report(&self, holder: FencingToken, usage: Usage) -> Future<'_, Result<(), Error>>;

    /// Orders endpoints.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoCapacity`] when there is no room there at the moment.
    fn order(&self, holder: FencingToken, order: Order) -> Future<'_, Result<(), Error>>;
}

/// Everything outside, as the control thread meets it.
#[derive(Clone, Debug)]
pub struct Clients {
    /// The operators' document.
    pub operators: Rc<dyn Operators>,
    /// The endpoints' registrations.
    pub registry: Rc<dyn Registry>,
    /// The system's own rows.
    pub table: Rc<dyn Table>,
    /// The calls of one entry at a time; `None` when nobody wants them.
    pub duties: Option<Rc<dyn Duties>>,
}

/// Where a process finds the outside.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Addresses {
    /// The store, as host and port.
    pub store: SmolStr,
    /// The cloud API, as host and port; `None` when it takes no calls of this system.
    pub cloud: Option<SmolStr>,
}

/// A kind of outside, which registers itself.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The name by which settings choose it.
    pub name: &'static str,
    /// Returns how its callers and endpoints name things.
    pub dialect: fn() -> Dialect,
    /// Makes the clients of one thread.
    pub connect: fn(Addresses) -> Future<'static, Result<Clients, Error>>,
}

impl Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);
