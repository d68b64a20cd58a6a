//! Tests of the in-flight requests that the keeper of a zone counts.

use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::endpoint::Endpoint;
use bergamotshift_forward::endpoint::Ledger;
use bergamotshift_forward::endpoint::Registration;
use bergamotshift_forward::outside::Cursor;
use bergamotshift_forward::peers::InFlight;

use crate::support::at;

fn endpoint() -> Endpoint {
    Endpoint::new(Registration {
        id: "e1".into(),
        born: 0,
        version: "v1".into(),
        service: "planner".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "one".into(),
        slots: 8,
        leaving: false,
        market: Market::OnDemand,
        leaves_in: None,
        written: Cursor::default(),
    })
}

fn in_flight(endpoint: &Endpoint, running: u32, unread: u64) -> InFlight {
    InFlight {
        endpoint: endpoint.hash,
        running,
        unread,
    }
}

fn load(ledger: &Ledger, endpoint: &Endpoint) -> (u32, u64) {
    ledger.apply_to(endpoint);
    (endpoint.running(), endpoint.unread())
}

/// Two entries send requests to an engine that the keeper chose. Each choice counts before the entry reports it, or the
/// next request would go to the same engine. The entry's next report replaces all of its counts.
#[test]
fn a_placement_counts_at_once_and_until_the_next_report() {
    let endpoint = endpoint();
    let (one, two) = (name::Entry::new("entry-1"), name::Entry::new("entry-2"));
    let mut ledger = Ledger::default();
    ledger.update(at(0), &one, &[]);
    ledger.record_placement(&one, endpoint.hash, 900);
    ledger.update(at(0), &two, &[in_flight(&endpoint, 1, 100)]);
    ledger.record_placement(&two, endpoint.hash, 50);
    assert_eq!(load(&ledger, &endpoint), (3, 1_050));
    let changed = ledger.update(at(100), &one, &[in_flight(&endpoint, 1, 0)]);
    assert_eq!(changed, [endpoint.hash, endpoint.hash]);
    assert_eq!(load(&ledger, &endpoint), (3, 150));
    ledger.update(at(200), &two, &[]);
    assert_eq!(load(&ledger, &endpoint), (1, 0));
}

/// An entry is killed with requests in flight and sends no further report. Its requests must not count any longer.
#[test]
fn what_an_entry_that_ended_had_is_forgotten() {
    let endpoint = endpoint();
    let entry = name::Entry::new("entry-1");
    let mut ledger = Ledger::default();
    ledger.update(at(0), &entry, &[in_flight(&endpoint, 2, 5_000)]);
    ledger.expire(at(2_000));
    assert!(ledger.contains(&entry));
    assert_eq!(load(&ledger, &endpoint), (2, 5_000));
    ledger.expire(at(4_000));
    assert!(!ledger.contains(&entry));
    assert_eq!(load(&ledger, &endpoint), (0, 0));
}

/// Guards against sums of all endpoints at once that differ from those of each endpoint, as they are computed in another
/// way, and against loads that stay after the last report of them.
#[test]
fn the_sums_of_all_endpoints_are_those_of_each() {
    let endpoints: Vec<_> = ["e1", "e2", "e3"]
        .into_iter()
        .map(|id| {
            Arc::new(Endpoint::new(Registration {
                id: id.into(),
                ..endpoint().registration
            }))
        })
        .collect();
    let mut ledger = Ledger::default();
    for (number, entry) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let loads: Vec<_> = endpoints[..number.min(2)]
            .iter()
            .map(|endpoint| in_flight(endpoint, number as u32, 100))
            .collect();
        ledger.update(at(0), &entry.into(), &loads);
    }
    endpoints[2].placed.set(9, 9);
    let all =
        |endpoints: &[Arc<Endpoint>]| -> Vec<_> { endpoints.iter().map(|one| (one.running(), one.unread())).collect() };
    ledger.apply_to_all(endpoints.iter());
    let at_once = all(&endpoints);
    for endpoint in &endpoints {
        ledger.apply_to(endpoint);
    }
    assert_eq!(at_once, all(&endpoints));
    assert_eq!(at_once, [(6, 300), (5, 200), (0, 0)]);
}
