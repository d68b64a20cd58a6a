//! The duties that one entry has for all.

use std::collections::BTreeMap;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::until;

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
