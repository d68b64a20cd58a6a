//! Load reports on their way through a zone.

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
    ..Shape::TODAY
};

/// Gives an entry a report on the way and returns the sequence of the one that it holds then.
fn hear(kernel: &mut Kernel, at: u64, endpoint: &endpoint::Id, sequence: u64, age_ds: u8) -> Option<u64> {
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
fn an_old_report_never_comes_back_and_a_new_count_is_taken() {
    // Reports of a count 7 arrived, then nothing for long. A copy of the earlier report 6 that still travels is no
    // news, however long the silence: taken for a count that began anew, it would be told on for ever. A report 1 that
    // was made after the silence is such a count. One whose age is off the scale is refused.
    let fleet = Fleet::new(ZONE, 81);
    let endpoint = fleet.endpoint(0);
    // A pause would make the entry forget the reports; here only their order counts.
    let settings = Settings {
        pause: Duration::from_mins(10),
        ..Settings::default()
    };
    let me = fleet.nodes[0].kernel.me().clone();
    let mut kernel = Kernel::new(Instant::from_secs(100), me, settings, rand_pcg::Pcg64Mcg::new(1));
    kernel.handle(
        Instant::from_secs(100),
        Event::VmsListed(fleet.list.clone()),
        &mut Vec::new(),
    );
    assert_eq!(hear(&mut kernel, 101, &endpoint, 7, 0), Some(7));
    assert_eq!(hear(&mut kernel, 102, &endpoint, 6, 20), Some(7));
    assert_eq!(hear(&mut kernel, 120, &endpoint, 6, 210), Some(7));
    assert_eq!(hear(&mut kernel, 140, &endpoint, 6, u8::MAX), Some(7));
    assert_eq!(hear(&mut kernel, 141, &endpoint, 1, 3), Some(1));
}

#[test]
fn the_second_watcher_steps_in_when_the_first_falls_silent() {
    // The first watcher of an endpoint lives and gossips, but gets no reports any more. The entries that watch nothing
    // have only the second watcher to hear from; while it took its own readings for the first one's it kept silent.
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
        fleet.deaf.insert(silent);
        fleet.run(Duration::from_mins(1));
        for (index, node) in fleet.running().filter(|(index, _)| *index != silent) {
            let (_, at) = node.kernel.load(&endpoint).expect("somebody told");
            let age = fleet.now.since(at);
            assert!(age < Duration::from_secs(20), "entry {index} knows a load {age:?} old");
        }
    }
}
