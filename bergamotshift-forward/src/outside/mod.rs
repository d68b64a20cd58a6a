//! Interfaces to external systems, which platform adapters implement. The table of stored rows has its own interface.

use core::fmt;
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
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error as ThisError;

use crate::dialect::Dialect;
use crate::document::Document;
use crate::endpoint::Change;

/// A position in the store's history of changes, which increases with each change.
///
/// A store that is restored from a copy loses its last changes: versions go back and are assigned again, and the era
/// rises. Positions are therefore ordered by era first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Cursor {
    /// Number of times that the store was restored; 0 if it does not report this.
    pub era: u64,
    /// Version of the last change within the era.
    pub version: u64,
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.version)
    }
}

/// Error of reading changes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Gap {
    /// The history after the cursor has been removed, so everything has to be read again.
    #[error("the history after the cursor is gone")]
    Truncated,
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] Error),
}

/// The operators' document and rollout orders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instructions {
    /// The document; `None` when there is none, or when it has not changed since the cursor of the call.
    pub document: Option<Document>,
    /// The orders to roll out versions, with the state that was last reported of each.
    pub rollouts: Vec<(Rollout, State)>,
    /// The errors of orders that cannot be read, by service.
    pub unreadable: Vec<(name::Service, Error)>,
}

/// Storage of the operators' document and rollout orders.
pub trait Operators: Debug {
    /// Reads the newest document, if there is one, and the current rollout orders.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails.
    fn read(&self) -> Future<'_, Result<(Instructions, Cursor), Error>>;

    /// Waits for at most `wait` until operators write something, and returns the changes.
    ///
    /// # Errors
    ///
    /// Returns a [`Gap`] when the changes since `after` cannot be read.
    fn wait_for_change(&self, after: Cursor, wait: Duration) -> Future<'_, Result<(Instructions, Cursor), Gap>>;

    /// Reports the state of a rollout to the operators, unless its outcome was reported before. Returns the state that
    /// is reported afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error when the state may not have been reported.
    fn report_rollout(&self, order: Rollout, state: State) -> Future<'_, Result<State, Error>>;
}

/// Registry of endpoints.
pub trait Registry: Debug {
    /// Reads a consistent snapshot of all registrations; none of them is [`Change::Removed`].
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails.
    fn registrations(&self) -> Future<'_, Result<(Vec<Change>, Cursor), Error>>;

    /// Returns the changes since a cursor without waiting for any.
    ///
    /// # Errors
    ///
    /// Returns a [`Gap`] when the changes since `after` cannot be read.
    fn changes(&self, after: Cursor) -> Future<'_, Result<(Vec<Change>, Cursor), Gap>>;
}

/// Fencing token of a call, by which the receiver rejects calls of a former holder of the duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencingToken {
    /// The entry that makes the call.
    pub entry: name::Entry,
    /// The fencing number.
    pub number: u64,
}

/// The number of requests of each organisation that started within one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of the window, counted in windows from the start of 1970.
    pub window: u64,
    /// The number of requests by organisation.
    pub counts: BTreeMap<name::Organisation, u64>,
}

/// An order for a number of endpoints of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// The service.
    pub service: name::Service,
    /// The availability zone.
    pub zone: name::Zone,
    /// The market on which the endpoints are bought. The number on the other market stays as it is.
    pub market: Market,
    /// The wanted number of endpoints.
    pub count: u32,
}

/// Calls that only the holder of the duties makes, for the whole fleet.
pub trait Duties: Debug {
    /// Reports the usage of a window.
    ///
    /// # Errors
    ///
    /// Returns an error when the report was not accepted.
    fn report(&self, holder: FencingToken, usage: Usage) -> Future<'_, Result<(), Error>>;

    /// Orders endpoints.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoCapacity`] when the zone has no capacity at the moment.
    fn order(&self, holder: FencingToken, order: Order) -> Future<'_, Result<(), Error>>;
}

/// Clients of the external systems, for one thread.
#[derive(Clone, Debug)]
pub struct Clients {
    /// The operators' document.
    pub operators: Rc<dyn Operators>,
    /// The endpoints' registrations.
    pub registry: Rc<dyn Registry>,
    /// The table of this system's own rows.
    pub table: Rc<dyn Table>,
    /// The calls of the holder of the duties; `None` when no external system takes them.
    pub duties: Option<Rc<dyn Duties>>,
}

/// Addresses of the external systems.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Addresses {
    /// The store, as host and port.
    pub store: SmolStr,
    /// The cloud API, as host and port; `None` when it takes no calls of this system.
    pub cloud: Option<SmolStr>,
}

/// A platform adapter, which registers itself as a plug-in.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The name of the adapter in the settings.
    pub name: &'static str,
    /// The function that returns the headers of its callers and endpoints.
    pub dialect: fn() -> Dialect,
    /// The function that creates the clients for one thread.
    pub connect: fn(Addresses) -> Future<'static, Result<Clients, Error>>,
}

impl Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);
