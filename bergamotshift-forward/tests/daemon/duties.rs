//! The duties that one entry has for all.

use std::collections::BTreeMap;

use bergamotshift_claim::lease;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::until;

/// The entry that reports usage is stopped for an update. It gives the duty back, and the other one goes on under the
/// next number after a look, not after the seconds that a lease lasts and that others take to miss its holder. No window
/// gets two figures on the way.
#[test]
fn a_reporter_that_stops_hands_over_at_once() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let first = site.launch("entry-a", &[]);
    let second = site.launch("entry-b", &[first.listen.peers]);
    until("both are ready", || first.is_ready() && second.is_ready());
    until("a window is reported", || !lock(&site.world).reports.is_empty());
    let holder = lock(&site.world).reports[0].0.clone();
    let (leaving, staying) = if holder.entry.as_str() == "entry-a" {
        (first, second)
    } else {
        (second, first)
    };
    leaving.stop();
    let leases = || -> Vec<lease::Record> {
        let world = lock(&site.world);
        let leases = world.written.iter().filter(|(key, _)| key.partition == "lease");
        let decoded = leases.map(|(_, body)| lease::Record::decode(body).expect("it is a lease"));
        decoded.collect()
    };
    let is_taken = || {
        leases()
            .iter()
            .any(|lease| lease.holder != holder.entry && !lease.released)
    };
    until("the other one has the duty", is_taken);
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
    let world = lock(&site.world);
    let mut windows = BTreeMap::new();
    for (_, usage) in &world.reports {
        let before = windows.insert(usage.window, usage.counts.clone());
        assert!(before.is_none_or(|before| before == usage.counts));
    }
}

/// Two entries serve an organisation. One of them reports each window's requests of both, once, under one number. When
/// it loses the store, the other one takes over under a higher number and reports no window with other figures.
#[test]
fn each_window_is_reported_once_also_when_its_reporter_loses_the_store() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let first = site.launch("entry-a", &[]);
    let second = site.launch("entry-b", &[first.listen.peers]);
    until("both are ready", || first.is_ready() && second.is_ready());
    for number in 0..10 {
        for daemon in [&first, &second] {
            let status = Caller::new(daemon)
                .ask("POST", "/confirm/1", &format!("r-{number}"), "x")
                .status;
            assert_eq!(status, 200);
        }
    }
    let reported = || -> u64 {
        let world = lock(&site.world);
        let counts = world.reports.iter().flat_map(|(_, usage)| usage.counts.values());
        counts.sum()
    };
    until("all requests are reported", || reported() == 20);
    let holder = lock(&site.world).reports[0].0.clone();
    lock(&site.world).cut.push(holder.entry.as_str().into());
    let is_taken_over = || {
        let world = lock(&site.world);
        world.reports.iter().any(|(other, _)| other.entry != holder.entry)
    };
    until("the other one reports", is_taken_over);
    let world = lock(&site.world);
    let mut windows = BTreeMap::new();
    let mut highest = 0;
    for (by, usage) in &world.reports {
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
