//! Entries that stop for a while without knowing it, and lost frames that look like it.

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
    ..Shape::TODAY
};

fn warm(shape: Shape, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(40));
    assert!(fleet.has_converged(), "the fleet did not form");
    fleet
}

#[test]
fn the_first_thing_after_a_pause_is_to_drop_what_was_held() {
    // The process is frozen for a minute while it holds a lease. When it goes on, its first event is a frame that
    // waited in the socket. It has to drop the lease before it acts on that frame, so the order of actions counts.
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
fn a_paused_entry_is_given_up_and_comes_back_as_itself() {
    // One entry of a zone stops for 30 s. The others call it dead. When it goes on, it must not call them dead for the
    // probes that it left unanswered, and it refutes its own death: the same life with a higher version.
    let mut fleet = warm(ZONE, 11);
    fleet.pause(5, Duration::from_secs(30));
    fleet.run(Duration::from_secs(25));
    let name = fleet.nodes[5].kernel.me().name.clone();
    let thinks = |fleet: &Fleet, state: State| {
        let others = fleet.running().filter(|(index, _)| *index != 5);
        let states = others.filter_map(|(_, node)| {
            let members = node.kernel.members();
            members.get(members.find(&name)?).map(|record| record.state)
        });
        states.filter(|other| *other == state).count()
    };
    assert_eq!(thinks(&fleet, State::Dead), 38);
    fleet.run(Duration::from_secs(6));
    assert!(fleet.is_running(5));
    let took = fleet.run_while_not(Duration::from_secs(30), Fleet::has_converged);
    assert!(took.is_some(), "it stays dead");
    assert_eq!(thinks(&fleet, State::Alive), 38);
    assert_eq!(fleet.nodes[5].pauses.len(), 1);
    let by_it = fleet.nodes[5].opinions.iter();
    assert_eq!(by_it.filter(|(_, record)| record.state == State::Dead).count(), 0);
}

#[test]
fn five_in_a_hundred_lost_frames_kill_nobody() {
    // For ten minutes every twentieth frame is lost. A probe whose direct and indirect tries all fail gives a
    // suspicion, which the suspect refutes before it runs out. The figures are exact for these seeds.
    let mut deaths = 0;
    let mut suspicions = 0;
    for seed in [21, 22, 23] {
        let mut fleet = warm(ZONE, seed);
        fleet.faults.loss = 0.05;
        fleet.run(Duration::from_mins(10));
        deaths += fleet.false_deaths();
        suspicions += fleet.opinions(State::Suspect).count();
    }
    assert_eq!(deaths, 0);
    assert!(suspicions <= 39 * 6, "{suspicions} times an entry heard of a suspicion");
}

#[test]
fn short_pauses_under_loss_kill_nobody() {
    // Every 5 s some entry stops for one second, as a busy small VM does, while every twentieth frame is lost. That is
    // shorter than probe and suspicion together, so nobody may be called dead, and nobody drops what it holds.
    let mut fleet = warm(ZONE, 31);
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
fn a_later_life_at_an_old_address_is_a_new_member() {
    // A VM is replaced and gets its predecessor's name and address, faster than any probe notices. The others must not
    // take the new life for the old one: what the old one held is gone.
    let mut fleet = warm(ZONE, 41);
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
fn a_zone_that_leaves_at_once_is_missed_nowhere() {
    // A whole zone is reclaimed and all of its entries say goodbye in the same instant, then end. Nobody of the zone is
    // left to pass it on, so each goodbye has to cross into the other zones by itself, under loss too.
    for (seed, zones) in [(52, 4), (53, 8)] {
        let shape = Shape {
            entries: 32,
            zones,
            ..Shape::TODAY
        };
        let mut fleet = warm(shape, seed);
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
    // An entry that leaves on purpose says so; nobody waits for a probe to fail. Late news that it lives changes
    // nothing.
    let mut fleet = warm(ZONE, 51);
    fleet.event(3, Event::Leave);
    fleet.run(Duration::from_millis(100));
    fleet.kill(3);
    let took = fleet.run_while_not(Duration::from_secs(3), Fleet::has_converged);
    assert!(took.is_some(), "some entry has not heard the goodbye");
    fleet.run(Duration::from_mins(1));
    assert!(fleet.has_converged());
}
