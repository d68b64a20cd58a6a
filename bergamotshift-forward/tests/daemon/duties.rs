//! Duties that one entry performs for the fleet.

use std::collections::BTreeMap;

use bergamotshift_claim::lease;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::wait_until;

/// Guards against usage reports that stop until the lease expires and its holder is missed, after a planned stop of
/// that entry. It releases the lease, and the other entry takes it with the next fencing number at its next poll. No
/// window is reported with two counts.
#[test]
fn a_reporter_that_stops_hands_over_at_once() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let first = site.launch("entry-a", &[]);
    let second = site.launch("entry-b", &[first.listen.peers]);
    wait_until("both are ready", || first.is_ready() && second.is_ready());
    wait_until("a window is reported", || !lock(&site.backend).reports.is_empty());
    let holder = lock(&site.backend).reports[0].0.clone();
    let (leaving, staying) = if holder.entry.as_str() == "entry-a" {
        (first, second)
    } else {
        (second, first)
    };
    leaving.stop();
    let leases = || -> Vec<lease::Record> {
        let backend = lock(&site.backend);
        let leases = backend.writes.iter().filter(|(key, _)| key.partition == "lease");
        let decoded = leases.map(|(_, body)| lease::Record::decode(body).expect("it is a lease"));
        decoded.collect()
    };
    let is_taken = || {
        leases()
            .iter()
            .any(|lease| lease.holder != holder.entry && !lease.released)
    };
    wait_until("the other one has the duty", is_taken);
    let leases = leases();
    let taken = leases
        .iter()
        .position(|lease| lease.holder != holder.entry)
        .expect("it was taken");
    assert!(leases[taken - 1].released, "it lapsed instead: {leases:?}");
    assert_eq!(leases[taken].number, holder.number + 1);
    leaving.join();
    staying.stop();
    staying.join();
    let backend = lock(&site.backend);
    let mut windows = BTreeMap::new();
    for (_, usage) in &backend.reports {
        let before = windows.insert(usage.window, usage.counts.clone());
        assert!(before.is_none_or(|before| before == usage.counts));
    }
}

/// Guards against windows that are reported with different counts, and reports with an old fencing number, when the
/// entry that reports the requests of both loses the store and the other one takes over.
#[test]
fn each_window_is_reported_once_also_when_its_reporter_loses_the_store() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let first = site.launch("entry-a", &[]);
    let second = site.launch("entry-b", &[first.listen.peers]);
    wait_until("both are ready", || first.is_ready() && second.is_ready());
    for number in 0..10 {
        for daemon in [&first, &second] {
            let status = Caller::new(daemon)
                .ask("POST", "/confirm/1", &format!("r-{number}"), "x")
                .status;
            assert_eq!(status, 200);
        }
    }
    let reported = || -> u64 {
        let backend = lock(&site.backend);
        let counts = backend.reports.iter().flat_map(|(_, usage)| usage.counts.values());
        counts.sum()
    };
    wait_until("all requests are reported", || reported() == 20);
    let holder = lock(&site.backend).reports[0].0.clone();
    lock(&site.backend).disconnected.push(holder.entry.as_str().into());
    let is_taken_over = || {
        let backend = lock(&site.backend);
        backend.reports.iter().any(|(other, _)| other.entry != holder.entry)
    };
    wait_until("the other one reports", is_taken_over);
    let backend = lock(&site.backend);
    let mut windows = BTreeMap::new();
    let mut highest = 0;
    for (by, usage) in &backend.reports {
        assert!(by.number >= highest, "an old number came after a new one");
        highest = by.number;
        let before = windows.insert(usage.window, usage.counts.clone());
        assert!(
            before.is_none_or(|before| before == usage.counts),
            "a window has two figures"
        );
    }
    assert!(highest > holder.number);
}
