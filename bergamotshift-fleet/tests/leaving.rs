//! Leaving marks of endpoints, the lag of the VM list, and the watchers of load.

mod support;

use std::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_core::vm;
use bergamotshift_fleet::prelude::*;
use support::Faults;
use support::Fleet;
use support::Shape;

const MIDDLE: Shape = Shape {
    entries: 50,
    endpoints: 80,
    zones: 5,
    ..Shape::TARGET
};

fn warmed_up(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(MIDDLE, seed);
    fleet.run(Duration::from_secs(40));
    assert!(fleet.has_converged(), "the fleet did not form");
    fleet
}

#[test]
fn every_entry_knows_of_a_leaving_endpoint_within_three_seconds_under_loss() {
    // One entry learns that an endpoint leaves, and every entry has to know in time although one frame in twenty is
    // lost.
    let mut fleet = warmed_up(61);
    fleet.faults = Faults {
        loss: 0.05,
        ..Faults::default()
    };
    let spread = fleet.leaving_spread(40, Duration::from_secs(3));
    assert_eq!(spread.missed, 0, "{:?} ms", spread.summary());
}

#[test]
fn a_whole_zone_of_endpoints_leaves_at_once() {
    // One entry reads the notices of all endpoints of a reclaimed zone at once. The burst has to reach every entry in
    // time.
    let mut fleet = warmed_up(62);
    let zone: Vec<usize> = (0..MIDDLE.endpoints).filter(|index| index % 5 == 2).collect();
    for &index in &zone {
        let event = Event::EndpointLeaving {
            endpoint: fleet.endpoint(index),
            source: mark::Source::Notice,
            notice_ms: Some(5_000),
        };
        fleet.event(17, event);
    }
    fleet.run(Duration::from_secs(3));
    for (index, node) in fleet.running() {
        assert_eq!(node.kernel.marks().len(), zone.len(), "entry {index}");
    }
}

#[test]
fn a_lagging_list_brings_nothing_back() {
    // An endpoint is marked as leaving while the VM list still shows it as live, and once an older incarnation of the
    // VM. Neither revokes the mark, and the mark does not affect the next incarnation of the VM.
    let mut fleet = warmed_up(63);
    let old = fleet.endpoint(4);
    let event = Event::EndpointLeaving {
        endpoint: old.clone(),
        source: mark::Source::Refused,
        notice_ms: None,
    };
    fleet.event(0, event);
    fleet.run(Duration::from_secs(3));
    let lagging = fleet.list.clone();
    let mut older = lagging.clone();
    older[4].incarnation = Incarnation::new(1);
    let mut newer = lagging.clone();
    newer[4].incarnation = old.incarnation.next();
    for list in [lagging, older] {
        for node in 0..MIDDLE.entries {
            fleet.event(node, Event::VmsListed(list.clone()));
        }
        for (_, node) in fleet.running() {
            let known = node.kernel.directory().get(&old.vm).map(|known| &known.id);
            assert_eq!(known, Some(&old));
            assert!(node.kernel.is_leaving(&old));
        }
    }
    for node in 0..MIDDLE.entries {
        fleet.event(node, Event::VmsListed(newer.clone()));
    }
    for (_, node) in fleet.running() {
        let known = node.kernel.directory().get(&old.vm).map(|known| known.id.clone());
        let known = known.expect("the new life is listed");
        assert_eq!(known.incarnation, old.incarnation.next());
        assert!(!node.kernel.is_leaving(&known));
    }
}

#[test]
fn the_list_and_the_endpoint_itself_mark_too() {
    let mut fleet = warmed_up(64);
    let mut list = fleet.list.clone();
    list[7].state = vm::State::Leaving { notice_ms: 20_000 };
    let by_list = fleet.endpoint(7);
    fleet.event(1, Event::VmsListed(list));

    let (watcher, by_itself) = fleet
        .running()
        .find_map(|(index, node)| node.kernel.watched().next().cloned().map(|endpoint| (index, endpoint)))
        .expect("somebody watches something");
    let report = bergamotshift_core::load::Report {
        leaving: true,
        ..Default::default()
    };
    let event = Event::LoadReported {
        endpoint: by_itself.clone(),
        report,
    };
    fleet.event(watcher, event);
    fleet.run(Duration::from_secs(3));
    for (_, node) in fleet.running() {
        assert!(node.kernel.is_leaving(&by_list));
        assert!(node.kernel.is_leaving(&by_itself));
    }
}

#[test]
fn every_endpoint_has_two_watchers_in_its_zone_also_after_deaths() {
    let mut fleet = warmed_up(65);
    let watchers = |fleet: &Fleet, index: usize| {
        let endpoint = fleet.endpoint(index);
        let watch = |node: &support::Node| node.kernel.watched().any(|other| *other == endpoint);
        let watching = fleet.running().filter(|(_, node)| watch(node));
        watching.map(|(_, node)| node.zone).collect::<Vec<_>>()
    };
    for _ in 0..2 {
        for index in 0..MIDDLE.endpoints {
            assert_eq!(watchers(&fleet, index), [index % 5; 2], "endpoint {index}");
        }
        for victim in [0, 5, 11, 23, 49] {
            fleet.kill(victim);
        }
        fleet.run(Duration::from_secs(20));
    }
}

#[test]
fn a_zone_without_entries_is_watched_from_the_others() {
    // All entries of zone 1 leave while its endpoints still serve. Without watchers in other zones their load would be
    // unknown.
    let mut fleet = warmed_up(66);
    for index in (0..MIDDLE.entries).filter(|index| index % 5 == 1) {
        fleet.event(index, Event::Leave);
    }
    fleet.run(Duration::from_secs(1));
    for index in (0..MIDDLE.entries).filter(|index| index % 5 == 1) {
        fleet.kill(index);
    }
    fleet.run(Duration::from_secs(10));
    let endpoint = fleet.endpoint(1);
    let watch = |node: &support::Node| node.kernel.watched().any(|other| *other == endpoint);
    assert_eq!(fleet.running().filter(|(_, node)| watch(node)).count(), 2);
}
