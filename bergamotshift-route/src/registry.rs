//! The control side: folds events about endpoints and publishes views.

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

/// How many endpoints a registry holds at most.
pub const MAX_ENDPOINTS: usize = (1 << prefix::SLOT_BITS) - 1;

/// Everything known of all endpoints, kept by one control task.
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
    /// The counts when the last report arrived. A report is about one interval old when it arrives, so the counts of
    /// the report before it are the ones that it covers.
    arrival: flight::Totals,
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
    /// Returns the number of a service, giving it one when it is new.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when no number is left.
    pub fn service(&mut self, name: &name::Service) -> Result<Service, Error> {
        self.services.number(name).map(|number| Service(number as u16))
    }

    /// Returns the number of an availability zone, giving it one when it is new.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when no number is left.
    pub fn zone(&mut self, name: &name::Zone) -> Result<Zone, Error> {
        self.zones.number(name).map(|number| Zone(number as u8))
    }

    /// Returns the number of a machine class, giving it one when it is new.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when no number is left.
    pub fn class(&mut self, name: &name::Class) -> Result<Class, Error> {
        self.classes.number(name).map(|number| Class(number as u8))
    }

    /// Returns the number of a model or adapter, giving it one when it is new.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when no number is left.
    pub fn model(&mut self, name: &name::Model) -> Result<u8, Error> {
        self.models.number(name).map(|number| number as u8)
    }

    /// Says how many entries send to these endpoints, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Adds one life of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when [`ENDPOINTS`] are registered.
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
                reported: Instant::ZERO,
                hints_from: Instant::ZERO,
                mark: flight::Totals::default(),
                counter: Arc::default(),
            },
            arrival: flight::Totals::default(),
        }))
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, key: key::Endpoint) {
        self.endpoints.remove(key);
    }

    /// Replaces what is known of an endpoint, such as its price or its models; counts and marks stay.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the endpoint was removed.
    pub fn update(&mut self, key: key::Endpoint, endpoint: Endpoint) -> Result<(), Error> {
        self.state(key)?.row.endpoint = endpoint;
        Ok(())
    }

    /// Marks an endpoint as leaving, for good: a new life is a new endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the endpoint was removed.
    pub fn mark_leaving(&mut self, key: key::Endpoint) -> Result<(), Error> {
        // Lagging lists and reports go on calling a leaving VM live. Nothing ever clears the mark, so none of them can
        // bring new work to it.
        self.state(key)?.row.leaving = true;
        Ok(())
    }

    /// Takes a load report; one that is older than the last is dropped.
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
        state.row.reported = now;
        state.row.mark = state.arrival;
        state.arrival = state.row.counter.totals();
        Ok(())
    }

    /// Notes that cache events of an endpoint were lost: hints recorded before `now` are worth less.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the endpoint was removed.
    pub fn record_event_gap(&mut self, key: key::Endpoint, now: Instant) -> Result<(), Error> {
        self.state(key)?.row.hints_from = now;
        Ok(())
    }

    /// Returns the hints, for cache events to be folded in.
    pub fn hints(&self) -> &Arc<prefix::Index> {
        &self.hints
    }

    /// Returns how many endpoints are registered.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is registered.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Makes the view that threads read from now on.
    pub fn publish(&self, now: Instant) -> View {
        let rows: Vec<Row> = self.endpoints.values().map(|state| state.row.clone()).collect();
        let slots = rows.iter().map(|row| prefix::Slot::of(row.key).place() + 1).max();
        let mut places = vec![u16::MAX; slots.unwrap_or(0)];
        let mut pools = vec![Pool::default(); self.services.len()];
        for (place, row) in rows.iter().enumerate() {
            places[prefix::Slot::of(row.key).place()] = place as u16;
            if !row.leaving
                && let Some(pool) = pools.get_mut(usize::from(row.endpoint.service.0))
            {
                pool.places.push(place as u16);
                pool.mean_price += row.endpoint.price_of_work();
            }
        }
        for pool in &mut pools {
            pool.mean_price /= pool.places.len().max(1) as f32;
            pool.places
                .sort_unstable_by_key(|&place| (rows[usize::from(place)].endpoint.price, place));
        }
        View {
            published: now,
            rows,
            pools,
            places,
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

/// Names in the order in which they were first seen; a name's place is its number.
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

    fn number(&mut self, name: &N) -> Result<usize, Error> {
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
