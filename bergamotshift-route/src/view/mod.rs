//! The immutable picture of all endpoints that one decision reads.

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

/// A service's number in its registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(pub(crate) u16);

/// An availability zone's number in its registry, below [`Set::CAPACITY`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub(crate) u8);

impl Zone {
    /// Returns the number, for use in a [`Set`].
    pub const fn number(self) -> u8 {
        self.0
    }
}

/// A machine class's number in its registry, below [`Set::CAPACITY`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(pub(crate) u8);

impl Class {
    /// Returns the number, for use in a [`Set`].
    pub const fn number(self) -> u8 {
        self.0
    }
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The service it runs.
    pub service: Service,
    /// Its availability zone.
    pub zone: Zone,
    /// Its machine class.
    pub class: Class,
    /// The market its VM was bought on.
    pub market: Market,
    /// What its VM costs per hour.
    pub price: Price,
    /// Reclaims expected per hour of its zone, class and market, in thousandths.
    pub reclaims_per_mille_hour: u32,
    /// Models and adapters it has loaded.
    pub models: Set,
    /// How fast its engine is.
    pub speed: Speed,
}

impl Endpoint {
    /// Returns the price per hour of as much work as the reference engine does, in millionths.
    pub(crate) fn price_of_work(&self) -> f32 {
        self.price.as_micros() as f32 * self.speed.slowness()
    }
}

/// An endpoint in a view: what is known, and what changed since.
#[derive(Clone, Debug)]
pub struct Row {
    pub(crate) key: key::Endpoint,
    pub(crate) endpoint: Endpoint,
    pub(crate) leaving: bool,
    pub(crate) report: Option<Report>,
    pub(crate) reported: Instant,
    pub(crate) hints_from: Instant,
    pub(crate) mark: flight::Totals,
    pub(crate) counter: Arc<flight::Counter>,
}

impl Row {
    /// Returns the endpoint's key.
    pub const fn key(&self) -> key::Endpoint {
        self.key
    }

    /// Returns what is known of the endpoint.
    pub const fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns whether the endpoint gets no new work.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the last load report and when it arrived.
    pub fn report(&self) -> Option<(Report, Instant)> {
        self.report.map(|report| (report, self.reported))
    }

    /// Returns this entry's counts at the endpoint.
    pub fn counter(&self) -> &flight::Counter {
        &self.counter
    }
}

/// The live endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Places in the view's rows, cheapest first.
    pub(crate) places: Vec<u16>,
    /// Mean price per hour of the reference engine's work, in millionths.
    pub(crate) mean_price: f32,
}

/// Every endpoint at one moment, with each service's endpoints in the order of their price.
#[derive(Clone)]
pub struct View {
    pub(crate) published: Instant,
    pub(crate) rows: Vec<Row>,
    /// The pool of each service, by the service's number.
    pub(crate) pools: Vec<Pool>,
    /// The place in `rows` of each arena slot, or `u16::MAX`.
    pub(crate) places: Vec<u16>,
    pub(crate) hints: Arc<prefix::Index>,
    pub(crate) entries: u32,
}

impl View {
    /// Returns when the view was published.
    pub const fn published(&self) -> Instant {
        self.published
    }

    /// Returns how many entries send to these endpoints, this one included.
    pub const fn entries(&self) -> u32 {
        self.entries
    }

    /// Returns all endpoints, leaving ones included.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Returns the places of a service's live endpoints, cheapest first.
    pub fn pool(&self, service: Service) -> &[u16] {
        self.pools
            .get(usize::from(service.0))
            .map_or(&[], |pool| pool.places.as_slice())
    }

    /// Returns the mean price per hour of the reference engine's work among a service's live endpoints, in millionths.
    pub(crate) fn mean_price(&self, service: Service) -> f32 {
        self.pools
            .get(usize::from(service.0))
            .map_or(0.0, |pool| pool.mean_price)
    }

    /// Returns the index of prefix hints that all views of a registry share.
    pub fn hints(&self) -> &prefix::Index {
        &self.hints
    }

    /// Finds an endpoint by its key.
    pub fn find(&self, key: key::Endpoint) -> Option<&Row> {
        let slot = prefix::Slot::of(key);
        let place = *self.places.get(slot.place())?;
        self.rows.get(usize::from(place)).filter(|row| row.key == key)
    }

    /// Returns the place of the endpoint in an arena slot.
    pub(crate) fn place_of(&self, slot: prefix::Slot) -> Option<u16> {
        let place = *self.places.get(slot.place())?;
        let row = self.rows.get(usize::from(place))?;
        (prefix::Slot::of(row.key) == slot).then_some(place)
    }

    /// Returns the place where a prompt's first block is computed when no endpoint is known to hold it.
    ///
    /// It follows from the block's hash and the endpoints' arena slots, so threads agree on it without talking and one
    /// endpoint's leaving moves only the prefixes that it was home to.
    pub(crate) fn home(&self, request: &Request<'_>) -> Option<u16> {
        const TRIES: u64 = 4;
        let &block = request.prefix.first()?;
        let slots = self.places.len() as u64;
        (0..TRIES).find_map(|turn| {
            let mixed = (block ^ turn.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
            let slot = ((u128::from(mixed) * u128::from(slots)) >> 64) as usize;
            let place = self.places[slot];
            let row = self.rows.get(usize::from(place))?;
            (row.endpoint.service == request.service && self.allows(place, request)).then_some(place)
        })
    }

    /// Returns whether the rules and the request's history allow it to run at this place.
    pub fn allows(&self, place: u16, request: &Request<'_>) -> bool {
        let row = &self.rows[usize::from(place)];
        let endpoint = &row.endpoint;
        !row.leaving
            && request.zones.contains(endpoint.zone.0)
            && request.classes.contains(endpoint.class.0)
            && request.models.is_subset(endpoint.models)
            && !request.exclude.contains(&row.key)
    }

    /// Counts a chosen request as sent, and remembers where its prefix is now cached.
    ///
    /// The guard is dropped when the attempt ends, in whatever way.
    ///
    /// # Panics
    ///
    /// Panics when `choice` was made on another view with more endpoints.
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
