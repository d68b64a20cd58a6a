//! Immutable snapshot of all endpoints, on which routing decisions are made.

use core::fmt;
use std::sync::Arc;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;

use crate::choice::Choice;
use crate::estimate::Speed;
use crate::flight;
use crate::prefix;
use crate::request::Request;
use crate::set::Set;

/// Number of a service in its registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(pub(crate) u16);

/// Number of an availability zone in its registry, below [`Set::CAPACITY`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub(crate) u8);

impl Zone {
    /// Returns the number, for use in a [`Set`].
    pub const fn number(self) -> u8 {
        self.0
    }
}

/// Number of a machine class in its registry, below [`Set::CAPACITY`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(pub(crate) u8);

impl Class {
    /// Returns the number, for use in a [`Set`].
    pub const fn number(self) -> u8 {
        self.0
    }
}

/// Attributes of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Service that the endpoint runs.
    pub service: Service,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Machine class of the VM.
    pub class: Class,
    /// Market on which the VM was bought.
    pub market: Market,
    /// Price of the VM per hour.
    pub price: Price,
    /// Expected reclaims per hour for the VM's zone, class and market, in thousandths.
    pub reclaims_per_mille_hour: u32,
    /// Models and adapters that are loaded.
    pub models: Set,
    /// Speed of the engine.
    pub speed: Speed,
}

impl Endpoint {
    /// Returns the price of the work that the reference engine does in an hour, in millionths of a currency unit.
    pub(crate) fn price_of_work(&self) -> f32 {
        self.price.as_micros() as f32 * self.speed.slowness()
    }
}

/// An endpoint in a view: its attributes, its last load report and its request counters.
#[derive(Clone, Debug)]
pub struct Row {
    pub(crate) key: key::Endpoint,
    pub(crate) endpoint: Endpoint,
    pub(crate) leaving: bool,
    pub(crate) report: Option<Report>,
    pub(crate) reported_at: Instant,
    pub(crate) event_gap_at: Instant,
    pub(crate) reported_totals: flight::Totals,
    pub(crate) counter: Arc<flight::Counter>,
}

impl Row {
    /// Returns the endpoint's key.
    pub const fn key(&self) -> key::Endpoint {
        self.key
    }

    /// Returns the endpoint's attributes.
    pub const fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns whether the endpoint is leaving and gets no new requests.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the last load report and the time of its arrival.
    pub fn report(&self) -> Option<(Report, Instant)> {
        self.report.map(|report| (report, self.reported_at))
    }

    /// Returns this entry's request counters for the endpoint.
    pub fn counter(&self) -> &flight::Counter {
        &self.counter
    }
}

/// The live endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Indices into the view's rows, lowest price first.
    pub(crate) indices: Vec<u16>,
    /// Mean of [`Endpoint::price_of_work`] over the pool, in millionths of a currency unit.
    pub(crate) mean_price: f32,
}

/// A snapshot of all endpoints, with the endpoints of each service ordered by price.
#[derive(Clone)]
pub struct View {
    pub(crate) published: Instant,
    pub(crate) rows: Vec<Row>,
    /// Pool of each service, indexed by the service's number.
    pub(crate) pools: Vec<Pool>,
    /// Index into `rows` for each arena index, or `u16::MAX` where there is no endpoint.
    pub(crate) index_by_slot: Vec<u16>,
    pub(crate) hints: Arc<prefix::Index>,
    pub(crate) entries: u32,
}

impl View {
    /// Returns the time when the view was published.
    pub const fn published(&self) -> Instant {
        self.published
    }

    /// Returns the number of entries that send to these endpoints, including this one.
    pub const fn entries(&self) -> u32 {
        self.entries
    }

    /// Returns all endpoints, including those that are leaving.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Returns the indices into [`rows`](Self::rows) of a service's live endpoints, lowest price first.
    pub fn pool(&self, service: Service) -> &[u16] {
        self.pools
            .get(usize::from(service.0))
            .map_or(&[], |pool| pool.indices.as_slice())
    }

    /// Returns the mean of [`Endpoint::price_of_work`] over a service's live endpoints, in millionths of a currency
    /// unit.
    pub(crate) fn mean_price(&self, service: Service) -> f32 {
        self.pools
            .get(usize::from(service.0))
            .map_or(0.0, |pool| pool.mean_price)
    }

    /// Returns the index of prefix hints, which all views of a registry share.
    pub fn hints(&self) -> &prefix::Index {
        &self.hints
    }

    /// Returns the endpoint with this key, if the view contains it.
    pub fn find(&self, key: key::Endpoint) -> Option<&Row> {
        let slot = prefix::Slot::of(key);
        let index = *self.index_by_slot.get(slot.arena_index())?;
        self.rows.get(usize::from(index)).filter(|row| row.key == key)
    }

    /// Returns the row index of the endpoint in an arena slot, if its generation matches.
    pub(crate) fn index_of(&self, slot: prefix::Slot) -> Option<u16> {
        let index = *self.index_by_slot.get(slot.arena_index())?;
        let row = self.rows.get(usize::from(index))?;
        (prefix::Slot::of(row.key) == slot).then_some(index)
    }

    /// Returns the row index of a prompt's home endpoint, which computes prefixes that no endpoint is known to cache.
    ///
    /// The home follows from the hash of the first block and the endpoints' arena slots. Threads therefore agree on it
    /// without coordination, and when an endpoint leaves, only the prefixes of which it was the home move.
    pub(crate) fn home_index(&self, request: &Request<'_>) -> Option<u16> {
        const TRIES: u64 = 4;
        let &block = request.prefix.first()?;
        let slots = self.index_by_slot.len() as u64;
        (0..TRIES).find_map(|attempt| {
            let mixed = (block ^ attempt.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
            let slot = ((u128::from(mixed) * u128::from(slots)) >> 64) as usize;
            let index = *self.index_by_slot.get(slot)?;
            let row = self.rows.get(usize::from(index))?;
            (row.endpoint.service == request.service && self.allows(index, request)).then_some(index)
        })
    }

    /// Returns whether the request may run at the endpoint with this row index.
    ///
    /// The endpoint must not be leaving or excluded, and must match the request's zones, classes and models.
    pub fn allows(&self, index: u16, request: &Request<'_>) -> bool {
        let row = &self.rows[usize::from(index)];
        let endpoint = &row.endpoint;
        !row.leaving
            && request.zones.contains(endpoint.zone.0)
            && request.classes.contains(endpoint.class.0)
            && request.models.is_subset(endpoint.models)
            && !request.exclude.contains(&row.key)
    }

    /// Counts a request as sent to the chosen endpoint, and records hints for its prefix there.
    ///
    /// The caller drops the guard when the attempt ends, in whatever way.
    ///
    /// # Panics
    ///
    /// Panics if `choice` was made on another view with more endpoints.
    pub fn record_sent(&self, choice: &Choice, request: &Request<'_>) -> flight::Guard {
        let row = &self.rows[choice.index];
        self.hints.record(request.prefix, row.key, request.now);
        flight::Guard::start(&row.counter, request.urgency, choice.estimate.prompt_tokens)
    }
}

impl fmt::Debug for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("View")
            .field("published", &self.published)
            .field("rows", &self.rows.len())
            .field("entries", &self.entries)
            .finish_non_exhaustive()
    }
}
