//! What the entries of a zone have under way, as they tell the entry that chooses endpoints for them.

use core::time::Duration;
use std::collections::HashMap;

use bergamotshift_core::prelude::*;

use super::Endpoint;
use crate::peers::InFlight;

/// How long what an entry told counts. Entries with work under way tell several times a second; one that was killed has
/// none any more.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// What one entry has under way.
#[derive(Debug, Default)]
struct Report {
    received: Instant,
    in_flight: HashMap<u64, InFlight>,
}

/// Adds up what the entries of a zone have under way at each endpoint.
///
/// Failure: dozens of entries choose by figures that are a second old. Symptom: some send to the same engine at once while
/// others stand idle, and one stream in eight begins late. Who chooses for all counts each choice at once, and what an
/// entry tells next replaces all that it told before, so a lost message or an entry that ends leaves nothing behind.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<name::Entry, Report>,
}

impl Ledger {
    /// Takes in all that an entry has under way; returns the endpoints whose sums changed.
    pub fn update(&mut self, now: Instant, entry: &name::Entry, flown: &[InFlight]) -> Vec<u64> {
        let flown = flown.iter().map(|one| (one.endpoint, *one)).collect();
        let told = self.entries.entry(entry.clone()).or_default();
        told.received = now;
        let before = core::mem::replace(&mut told.in_flight, flown);
        before.into_keys().chain(told.in_flight.keys().copied()).collect()
    }

    /// Counts a request that this entry placed for another one.
    pub fn record_placement(&mut self, entry: &name::Entry, endpoint: u64, unread: u64) {
        let told = self.entries.entry(entry.clone()).or_default();
        let flown = told.in_flight.entry(endpoint).or_insert(InFlight::none(endpoint));
        flown.running += 1;
        flown.unread += unread;
    }

    /// Sets what an endpoint has under way by this entry's choice.
    pub fn apply_to(&self, endpoint: &Endpoint) {
        let here = self
            .entries
            .values()
            .filter_map(|told| told.in_flight.get(&endpoint.hash));
        let (running, unread) = here.fold((0, 0), |(running, unread), flown| {
            (running + flown.running, unread + flown.unread)
        });
        endpoint.placed.set(running, unread);
    }

    /// Returns whether an entry told lately.
    pub fn contains(&self, entry: &name::Entry) -> bool {
        self.entries.contains_key(entry)
    }

    /// Forgets what was told long ago.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, told| now.since(told.received) < REPORT_TTL);
    }
}
