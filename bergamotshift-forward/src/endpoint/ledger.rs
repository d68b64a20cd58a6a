//! Tracks the requests that a zone's entries have in flight, for the keeper that chooses endpoints for them.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::Endpoint;
use crate::peers::InFlight;

/// Time for which an entry's report counts. Entries with requests in flight report several times a second, and a killed
/// entry has none left.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Requests that one entry has in flight.
#[derive(Debug, Default)]
struct Report {
    /// Time of the last report.
    received: Instant,
    /// Requests in flight, by the endpoint's hash.
    in_flight: HashMap<u64, InFlight>,
}

/// Sums up the requests that the entries of a zone have in flight at each endpoint.
///
/// If dozens of entries chose endpoints by figures that are a second old, several would send to the same engine while
/// others are idle, and one stream in eight would begin late. The keeper chooses for all entries and counts each choice
/// at once. The next report of an entry replaces its previous one, so lost messages and stopped entries leave no stale
/// counts.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<name::Entry, Report>,
}

impl Ledger {
    /// Replaces an entry's in-flight requests, and returns the endpoints whose sums may have changed.
    pub fn update(&mut self, now: Instant, entry: &name::Entry, in_flight: &[InFlight]) -> Vec<u64> {
        let in_flight = in_flight.iter().map(|one| (one.endpoint, *one)).collect();
        let report = self.entries.entry(entry.clone()).or_default();
        report.received = now;
        let before = core::mem::replace(&mut report.in_flight, in_flight);
        before.into_keys().chain(report.in_flight.keys().copied()).collect()
    }

    /// Counts a request for which this entry chose an endpoint on behalf of another one.
    pub fn record_placement(&mut self, entry: &name::Entry, endpoint: u64, unread: u64) {
        let report = self.entries.entry(entry.clone()).or_default();
        let in_flight = report.in_flight.entry(endpoint).or_insert(InFlight::none(endpoint));
        in_flight.running += 1;
        in_flight.unread += unread;
    }

    /// Sets the load that this entry placed at each of these endpoints to the sum over all reports.
    ///
    /// Reads each report once. A look for each endpoint in each report would grow with the square of the fleet.
    pub fn apply_to_all<'a>(&self, endpoints: impl Iterator<Item = &'a Arc<Endpoint>>) {
        let mut sums: HashMap<u64, (u32, u64)> = HashMap::new();
        for load in self.entries.values().flat_map(|report| report.in_flight.values()) {
            let sum = sums.entry(load.endpoint).or_default();
            sum.0 += load.running;
            sum.1 += load.unread;
        }
        for endpoint in endpoints {
            let (running, unread) = sums.get(&endpoint.hash).copied().unwrap_or_default();
            endpoint.placed.set(running, unread);
        }
    }

    /// Sets the load that this entry placed at an endpoint to the sum over all reports.
    pub fn apply_to(&self, endpoint: &Endpoint) {
        let here = self
            .entries
            .values()
            .filter_map(|report| report.in_flight.get(&endpoint.hash));
        let (running, unread) = here.fold((0, 0), |(running, unread), load| {
            (running + load.running, unread + load.unread)
        });
        endpoint.placed.set(running, unread);
    }

    /// Returns whether an entry has a current report.
    pub fn contains(&self, entry: &name::Entry) -> bool {
        self.entries.contains_key(entry)
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, report| now.since(report.received) < REPORT_TTL);
    }
}
