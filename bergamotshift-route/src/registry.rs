//! Registry of all known endpoints. The control task updates it and publishes views from it.

use core::fmt;
use core::hash::Hash;
use std::sync::Arc;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use slotmap::SlotMap;

use crate::error::Error;
use crate::flight;
use crate::prefix;
use crate::set::Set;
use crate::view::Class;
use crate::view::Endpoint;
use crate::view::Pool;
use crate::view::Row;
use crate::view::Service;
use crate::view::View;
use crate::view::Zone;

/// Maximum number of endpoints in a registry.
pub const MAX_ENDPOINTS: usize = (1 << prefix::SLOT_BITS) - 1;

/// The mutable state of all endpoints, owned by one control task.
pub struct Registry {
    endpoints: SlotMap<key::Endpoint, State>,
    services: Names<name::Service>,
    zones: Names<name::Zone>,
    classes: Names<name::Class>,
    models: Names<name::Model>,
    hints: Arc<prefix::Index>,
    entries: u32,
}

struct State {
    row: Row,
    /// Totals at the time when the last report arrived. A report is about one interval old when it arrives, so the
    /// totals taken at the arrival of the previous report are the ones that it covers.
    arrival_totals: flight::Totals,
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            endpoints: SlotMap::with_key(),
            services: Names::new("services", usize::from(u16::MAX)),
            zones: Names::new("availability zones", Set::CAPACITY),
            classes: Names::new("machine classes", Set::CAPACITY),
            models: Names::new("models and adapters", Set::CAPACITY),
            hints: Arc::default(),
            entries: 1,
        }
    }
}

impl Registry {
    /// Returns the number of a service, and assigns one to a new service.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when no number is left.
    pub fn service(&mut self, name: &name::Service) -> Result<Service, Error> {
        self.services.intern(name).map(|number| Service(number as u16))
    }

    /// Returns the number of an availability zone, and assigns one to a new zone.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when no number is left.
    pub fn zone(&mut self, name: &name::Zone) -> Result<Zone, Error> {
        self.zones.intern(name).map(|number| Zone(number as u8))
    }

    /// Returns the number of a machine class, and assigns one to a new class.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when no number is left.
    pub fn class(&mut self, name: &name::Class) -> Result<Class, Error> {
        self.classes.intern(name).map(|number| Class(number as u8))
    }

    /// Returns the number of a model or adapter, and assigns one to a new name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when no number is left.
    pub fn model(&mut self, name: &name::Model) -> Result<u8, Error> {
        self.models.intern(name).map(|number| number as u8)
    }

    /// Sets the number of entries that send to these endpoints, including this one.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Adds an endpoint and returns its key. A restarted endpoint is added again under a new key.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when [`MAX_ENDPOINTS`] endpoints are registered.
    pub fn insert(&mut self, endpoint: Endpoint) -> Result<key::Endpoint, Error> {
        if self.endpoints.len() >= MAX_ENDPOINTS {
            return Err(Error::Full {
                what: "endpoints",
                limit: MAX_ENDPOINTS,
            });
        }
        Ok(self.endpoints.insert_with_key(|key| State {
            row: Row {
                key,
                endpoint,
                leaving: false,
                report: None,
                reported_at: Instant::ZERO,
                event_gap_at: Instant::ZERO,
                reported_totals: flight::Totals::default(),
                counter: Arc::default(),
            },
            arrival_totals: flight::Totals::default(),
        }))
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: key::Endpoint) {
        self.endpoints.remove(key);
    }

    /// Replaces the attributes of an endpoint, such as its price or its models.
    ///
    /// Its counters, its last report and its leaving flag are kept.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the endpoint was removed.
    pub fn update(&mut self, key: key::Endpoint, endpoint: Endpoint) -> Result<(), Error> {
        self.state(key)?.row.endpoint = endpoint;
        Ok(())
    }

    /// Marks an endpoint as leaving. The flag is permanent; a restarted endpoint is inserted as a new one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the endpoint was removed.
    pub fn mark_leaving(&mut self, key: key::Endpoint) -> Result<(), Error> {
        // Delayed VM lists and reports can still show a leaving VM as live. The flag is never cleared, so they cannot
        // cause new work to be sent to it.
        self.state(key)?.row.leaving = true;
        Ok(())
    }

    /// Stores a load report. A report that is not newer than the last one is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the endpoint was removed.
    pub fn record_report(&mut self, key: key::Endpoint, report: Report, now: Instant) -> Result<(), Error> {
        let state = self.state(key)?;
        if state.row.report.is_some_and(|last| last.sequence >= report.sequence) {
            return Ok(());
        }
        state.row.leaving |= report.leaving;
        state.row.report = Some(report);
        state.row.reported_at = now;
        state.row.reported_totals = state.arrival_totals;
        state.arrival_totals = state.row.counter.totals();
        Ok(())
    }

    /// Records that cache events of an endpoint were lost, which lowers the weight of hints recorded before `now`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the endpoint was removed.
    pub fn record_event_gap(&mut self, key: key::Endpoint, now: Instant) -> Result<(), Error> {
        self.state(key)?.row.event_gap_at = now;
        Ok(())
    }

    /// Returns the index of prefix hints, to which cache events are applied.
    pub fn hints(&self) -> &Arc<prefix::Index> {
        &self.hints
    }

    /// Returns the number of registered endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is registered.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Builds an immutable view of the current state.
    pub fn publish(&self, now: Instant) -> View {
        let rows: Vec<Row> = self.endpoints.values().map(|state| state.row.clone()).collect();
        let slots = rows.iter().map(|row| prefix::Slot::of(row.key).arena_index() + 1).max();
        let mut index_by_slot = vec![u16::MAX; slots.unwrap_or(0)];
        let mut pools = vec![Pool::default(); self.services.len()];
        for (index, row) in rows.iter().enumerate() {
            index_by_slot[prefix::Slot::of(row.key).arena_index()] = index as u16;
            if !row.leaving
                && let Some(pool) = pools.get_mut(usize::from(row.endpoint.service.0))
            {
                pool.indices.push(index as u16);
                pool.mean_price += row.endpoint.price_of_work();
            }
        }
        for pool in &mut pools {
            pool.mean_price /= pool.indices.len().max(1) as f32;
            pool.indices
                .sort_unstable_by_key(|&index| (rows[usize::from(index)].endpoint.price, index));
        }
        View {
            published: now,
            rows,
            pools,
            index_by_slot,
            hints: Arc::clone(&self.hints),
            entries: self.entries,
        }
    }

    fn state(&mut self, key: key::Endpoint) -> Result<&mut State, Error> {
        self.endpoints.get_mut(key).ok_or(Error::Unknown)
    }
}

impl fmt::Debug for Registry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registry")
            .field("endpoints", &self.endpoints.len())
            .field("entries", &self.entries)
            .finish_non_exhaustive()
    }
}

/// An interner that numbers names in the order in which they are first seen.
struct Names<N> {
    what: &'static str,
    limit: usize,
    known: Vec<N>,
}

impl<N: Clone + Eq + Hash> Names<N> {
    const fn new(what: &'static str, limit: usize) -> Self {
        Self {
            what,
            limit,
            known: Vec::new(),
        }
    }

    fn len(&self) -> usize {
        self.known.len()
    }

    fn intern(&mut self, name: &N) -> Result<usize, Error> {
        if let Some(number) = self.known.iter().position(|known| known == name) {
            return Ok(number);
        }
        if self.known.len() >= self.limit {
            return Err(Error::Full {
                what: self.what,
                limit: self.limit,
            });
        }
        self.known.push(name.clone());
        Ok(self.known.len() - 1)
    }
}
