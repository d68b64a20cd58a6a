//! Gossip of load reports within a zone.

mod support;

use std::time::Duration;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_fleet::load::Level;
use bergamotshift_fleet::load::Load;
use bergamotshift_fleet::prelude::*;
use bergamotshift_fleet::wire::Body;
use bergamotshift_fleet::wire::Frame;
use bergamotshift_fleet::wire::Item;
use support::Fleet;
use support::Shape;

const ZONE: Shape = Shape {
    entries: 6,
    endpoints: 6,
    zones: 1,
    organisations: 0,
    ..Shape::CURRENT
};

/// Delivers a gossiped report to an entry and returns the sequence number of the report that the entry then holds.
fn receive_load(kernel: &mut Kernel, at: u64, endpoint: &endpoint::Id, sequence: u64, age_ds: u8) -> Option<u64> {
    let from = kernel.me().address;
    let load = Load {
        endpoint: endpoint.tag(),
        sequence,
        level: Level::of(&Report::default()),
        age_ds,
    };
    let frame = Frame {
        from: kernel.tag(),
        body: Body::Push,
        items: vec![Item::Load(load)],
    };
    let bytes = frame.encode();
    let now = Instant::from_secs(at);
    kernel.handle(now, Event::Received { from, bytes }, &mut Vec::new());
    kernel.load(endpoint).map(|(report, _)| report.sequence)
}

#[test]
fn an_old_report_is_ignored_and_a_restarted_sequence_is_accepted() {
    // After report 7 nothing arrives for long. A delayed copy of report 6 must not be taken for a restarted sequence,
    // or it would circulate forever. Report 1, made after the silence, is a restarted sequence. A report whose age is
    // saturated is refused.
    let fleet = Fleet::new(ZONE, 81);
    let endpoint = fleet.endpoint(0);
    // A pause would clear the reports, and only their order matters here.
    let settings = Settings {
        pause_threshold: Duration::from_mins(10),
        ..Settings::default()
    };
    let me = fleet.nodes[0].kernel.me().clone();
    let mut kernel = Kernel::new(Instant::from_secs(100), me, settings, rand_pcg::Pcg64Mcg::new(1));
    kernel.handle(
        Instant::from_secs(100),
        Event::VmsListed(fleet.list.clone()),
        &mut Vec::new(),
    );
    assert_eq!(receive_load(&mut kernel, 101, &endpoint, 7, 0), Some(7));
    assert_eq!(receive_load(&mut kernel, 102, &endpoint, 6, 20), Some(7));
    assert_eq!(receive_load(&mut kernel, 120, &endpoint, 6, 210), Some(7));
    assert_eq!(receive_load(&mut kernel, 140, &endpoint, 6, u8::MAX), Some(7));
    assert_eq!(receive_load(&mut kernel, 141, &endpoint, 1, 3), Some(1));
}

#[test]
fn the_second_watcher_publishes_when_the_first_stops() {
    // The first watcher of an endpoint is alive but gets no reports any more. The second watcher used to count its own
    // reports as those of the first one and never published.
    let mut fleet = Fleet::new(ZONE, 82);
    fleet.run(Duration::from_secs(40));
    let endpoint = fleet.endpoint(0);
    let is_watcher = |node: &support::Node| node.kernel.watched().any(|other| *other == endpoint);
    let watchers: Vec<usize> = fleet
        .running()
        .filter(|(_, node)| is_watcher(node))
        .map(|(index, _)| index)
        .collect();
    assert_eq!(watchers.len(), 2);
    for silent in watchers {
        let mut fleet = Fleet::new(ZONE, 82);
        fleet.run(Duration::from_secs(40));
        fleet.without_reports.insert(silent);
        fleet.run(Duration::from_mins(1));
        for (index, node) in fleet.running().filter(|(index, _)| *index != silent) {
            let (_, at) = node.kernel.load(&endpoint).expect("somebody told");
            let age = fleet.now.since(at);
            assert!(age < Duration::from_secs(20), "entry {index} knows a load {age:?} old");
        }
    }
}
