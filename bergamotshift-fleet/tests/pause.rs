//! Paused entries, and lost frames that look like pauses.

mod support;

use std::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::member::State;
use bergamotshift_fleet::prelude::*;
use rand_pcg::Pcg64Mcg;
use support::Faults;
use support::Fleet;
use support::Shape;

const ZONE: Shape = Shape {
    entries: 39,
    endpoints: 60,
    zones: 1,
    ..Shape::CURRENT
};

fn warmed_up(shape: Shape, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(40));
    assert!(fleet.has_converged(), "the fleet did not form");
    fleet
}

#[test]
fn the_first_thing_after_a_pause_is_to_drop_what_was_held() {
    // The process is frozen for a minute while it holds a lease. It has to drop the lease before it handles the first
    // event after the pause, so the order of actions matters.
    let record = member::Record {
        name: "entry".into(),
        incarnation: Incarnation::new(1),
        version: 0,
        state: State::Alive,
        address: ([10, 0, 0, 1], 1).into(),
        zone: "zone".into(),
    };
    let mut kernel = Kernel::new(Instant::ZERO, record, Settings::default(), Pcg64Mcg::new(1));
    let mut actions = Vec::new();
    let event = Event::EndpointLeaving {
        endpoint: endpoint::Id {
            vm: "vm".into(),
            incarnation: Incarnation::new(1),
        },
        source: mark::Source::Notice,
        notice_ms: None,
    };
    kernel.handle(Instant::from_secs(1), Event::Tick, &mut actions);
    assert!(!actions.iter().any(|action| matches!(action, Action::Paused { .. })));
    actions.clear();
    kernel.handle(Instant::from_secs(61), event, &mut actions);
    let gap = Duration::from_mins(1);
    assert_eq!(actions.first(), Some(&Action::Paused { gap }));
}

#[test]
fn a_paused_entry_is_declared_dead_and_returns_in_the_same_incarnation() {
    // The others declare an entry dead that stops for 30 s. Afterwards it must not declare them dead for its own
    // unanswered probes, and it refutes its death with a higher version of the same incarnation.
    let mut fleet = warmed_up(ZONE, 11);
    fleet.pause(5, Duration::from_secs(30));
    fleet.run(Duration::from_secs(25));
    let name = fleet.nodes[5].kernel.me().name.clone();
    let count_state = |fleet: &Fleet, state: State| {
        let others = fleet.running().filter(|(index, _)| *index != 5);
        let states = others.filter_map(|(_, node)| {
            let members = node.kernel.members();
            members.get(members.find(&name)?).map(|record| record.state)
        });
        states.filter(|other| *other == state).count()
    };
    assert_eq!(count_state(&fleet, State::Dead), 38);
    fleet.run(Duration::from_secs(6));
    assert!(fleet.is_running(5));
    let took = fleet.run_while_not(Duration::from_secs(30), Fleet::has_converged);
    assert!(took.is_some(), "it stays dead");
    assert_eq!(count_state(&fleet, State::Alive), 38);
    assert_eq!(fleet.nodes[5].pauses.len(), 1);
    let own_changes = fleet.nodes[5].member_changes.iter();
    assert_eq!(own_changes.filter(|(_, record)| record.state == State::Dead).count(), 0);
}

#[test]
fn five_percent_frame_loss_causes_no_deaths() {
    // One frame in twenty is lost for ten minutes. When the direct and indirect probes of a member all fail, it is
    // suspected and has to refute in time. The numbers are exact for these seeds.
    let mut deaths = 0;
    let mut suspicions = 0;
    for seed in [21, 22, 23] {
        let mut fleet = warmed_up(ZONE, seed);
        fleet.faults.loss = 0.05;
        fleet.run(Duration::from_mins(10));
        deaths += fleet.false_deaths();
        suspicions += fleet.member_changes(State::Suspect).count();
    }
    assert_eq!(deaths, 0);
    assert!(suspicions <= 39 * 6, "{suspicions} times an entry heard of a suspicion");
}

#[test]
fn short_pauses_under_loss_cause_no_deaths() {
    // Every 5 s an entry stops for one second, as a busy small VM does, while one frame in twenty is lost. That is
    // shorter than probe and suspicion together, so nobody may be declared dead or drop its state.
    let mut fleet = warmed_up(ZONE, 31);
    fleet.faults = Faults {
        loss: 0.05,
        ..Faults::default()
    };
    for round in 0..60 {
        fleet.pause(round * 7 % 39, Duration::from_secs(1));
        fleet.run(Duration::from_secs(5));
    }
    assert_eq!(fleet.false_deaths(), 0);
    let pauses: usize = fleet.nodes.iter().map(|node| node.pauses.len()).sum();
    assert_eq!(pauses, 0);
}

#[test]
fn a_later_incarnation_at_an_old_address_is_a_new_member() {
    // A replaced VM gets its predecessor's name and address before any probe notices. The others must not take the new
    // incarnation for the old one, whose state is lost.
    let mut fleet = warmed_up(ZONE, 41);
    fleet.kill(9);
    fleet.restart(ZONE, 9, 2);
    let took = fleet.run_while_not(Duration::from_secs(20), Fleet::has_converged);
    assert!(took.is_some(), "the new life did not replace the old one");
    let name = fleet.nodes[9].kernel.me().name.clone();
    for (_, node) in fleet.running() {
        let members = node.kernel.members();
        let key = members.find(&name).expect("it is a member");
        assert_eq!(members.get(key).map(|record| record.incarnation.get()), Some(2));
    }
    assert_eq!(fleet.false_deaths(), 0);
}

#[test]
fn a_zone_that_leaves_at_once_is_removed_everywhere() {
    // All entries of a reclaimed zone announce their leaving at the same time and end. No member of the zone is left to
    // forward it, so each announcement has to reach the other zones by itself, also under loss.
    for (seed, zones) in [(52, 4), (53, 8)] {
        let shape = Shape {
            entries: 32,
            zones,
            ..Shape::CURRENT
        };
        let mut fleet = warmed_up(shape, seed);
        fleet.faults.loss = 0.05;
        let leaving: Vec<usize> = (0..shape.entries).filter(|index| index % zones == 1).collect();
        for &node in &leaving {
            fleet.event(node, Event::Leave);
        }
        fleet.run(Duration::from_millis(20));
        for &node in &leaving {
            fleet.kill(node);
        }
        let took = fleet.run_while_not(Duration::from_secs(10), Fleet::has_converged);
        assert!(took.is_some(), "some entry still counts on the zone that left");
    }
}

#[test]
fn a_goodbye_is_final_and_quick() {
    // An entry that leaves on purpose announces it, so nobody waits for a failed probe. Late updates that it is alive
    // are ignored.
    let mut fleet = warmed_up(ZONE, 51);
    fleet.event(3, Event::Leave);
    fleet.run(Duration::from_millis(100));
    fleet.kill(3);
    let took = fleet.run_while_not(Duration::from_secs(3), Fleet::has_converged);
    assert!(took.is_some(), "some entry has not heard the goodbye");
    fleet.run(Duration::from_mins(1));
    assert!(fleet.has_converged());
}
