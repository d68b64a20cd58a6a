//! Zones and entries that lose contact and recover.

mod support;

use std::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::vm;
use bergamotshift_fleet::member::State;
use bergamotshift_fleet::prelude::*;
use support::Faults;
use support::Fleet;
use support::Shape;
use support::build::zone_name;

/// Time after healing within which the views of all entries have to agree again.
const CONVERGENCE: Duration = Duration::from_secs(30);

const MIDDLE: Shape = Shape {
    entries: 24,
    endpoints: 32,
    ..Shape::CURRENT
};

fn warmed_up(shape: Shape, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(40));
    assert!(fleet.has_converged(), "the fleet did not form");
    fleet
}

fn reach_of_zone(fleet: &Fleet, from_zone: usize, to_zone: usize) -> Vec<Reach> {
    let to = zone_name(to_zone);
    fleet
        .running()
        .filter(|(_, node)| node.zone == from_zone)
        .map(|(_, node)| node.kernel.reach(fleet.now, &to))
        .collect()
}

fn mark_leaving(fleet: &mut Fleet, node: usize, endpoint: usize) -> endpoint::Id {
    let endpoint = fleet.endpoint(endpoint);
    let event = Event::EndpointLeaving {
        endpoint: endpoint.clone(),
        source: mark::Source::Notice,
        notice_ms: Some(30_000),
    };
    fleet.event(node, event);
    endpoint
}

fn count_marked(fleet: &Fleet, endpoint: &endpoint::Id) -> usize {
    fleet
        .running()
        .filter(|(_, node)| node.kernel.is_leaving(endpoint))
        .count()
}

#[test]
fn a_cut_between_two_zones_causes_no_deaths_and_updates_are_relayed() {
    // Zones 0 and 1 lose contact for two minutes, and an endpoint of zone 0 leaves meanwhile. Zone 1 has to learn it
    // through zones 2 and 3, and no member may be declared dead, since only members of one zone judge each other.
    let mut fleet = warmed_up(MIDDLE, 1);
    fleet.cut_zones(0, 1);
    fleet.run(Duration::from_mins(1));
    assert!(reach_of_zone(&fleet, 0, 1).iter().all(|reach| *reach == Reach::Relayed));
    let endpoint = mark_leaving(&mut fleet, 0, 0);
    let took = fleet.run_while_not(Duration::from_secs(10), |fleet| {
        count_marked(fleet, &endpoint) == MIDDLE.entries
    });
    assert!(took.is_some(), "{} entries know", count_marked(&fleet, &endpoint));
    fleet.run(Duration::from_secs(50));
    assert_eq!(fleet.false_deaths(), 0);

    fleet.heal_zones(0, 1);
    let direct = |fleet: &Fleet| reach_of_zone(fleet, 0, 1).iter().all(|reach| *reach == Reach::Direct);
    assert!(fleet.run_while_not(CONVERGENCE, direct).is_some());
}

#[test]
fn a_zone_cut_off_from_all_catches_up_after_healing() {
    // Zone 3 is cut off for five minutes. On each side an endpoint leaves and an entry dies. After healing, in any
    // order, all views and marks have to agree within the bound.
    for order in [[0, 1, 2], [2, 0, 1], [1, 2, 0]] {
        let mut fleet = warmed_up(MIDDLE, 2);
        for zone in order {
            fleet.cut_zones(zone, 3);
        }
        fleet.run(Duration::from_mins(1));
        let inside = mark_leaving(&mut fleet, 3, 3);
        let outside = mark_leaving(&mut fleet, 0, 0);
        fleet.kill(7);
        fleet.kill(8);
        fleet.run(Duration::from_mins(4));
        assert_eq!(
            count_marked(&fleet, &inside),
            5,
            "zone 3 has five entries left and tells nobody else"
        );
        assert_eq!(count_marked(&fleet, &outside), 17);
        assert!(reach_of_zone(&fleet, 3, 0).iter().all(|reach| *reach == Reach::Lost));

        for zone in order {
            fleet.heal_zones(zone, 3);
            fleet.run(Duration::from_secs(3));
        }
        let settled = |fleet: &Fleet| {
            fleet.has_converged() && count_marked(fleet, &inside) == 22 && count_marked(fleet, &outside) == 22
        };
        let took = fleet.run_while_not(CONVERGENCE, settled);
        assert!(took.is_some(), "healed in the order {order:?} without converging");
        assert_eq!(fleet.false_deaths(), 0);
    }
}

#[test]
fn a_one_way_cut_between_zones_is_seen_from_both_sides() {
    // Frames from zone 0 to zone 1 are lost, but not those from 1 to 0. Neither side gets answers to its probes, so
    // both report the other as relayed, until the cut ends. Nobody is declared dead.
    let mut fleet = warmed_up(MIDDLE, 3);
    fleet.zone_cuts.insert((0, 1));
    fleet.run(Duration::from_mins(1));
    for (from, to) in [(0, 1), (1, 0)] {
        assert!(
            reach_of_zone(&fleet, from, to)
                .iter()
                .all(|reach| *reach == Reach::Relayed)
        );
    }
    assert_eq!(fleet.false_deaths(), 0);
    fleet.zone_cuts.clear();
    let direct = |fleet: &Fleet| {
        let both = reach_of_zone(fleet, 0, 1).into_iter().chain(reach_of_zone(fleet, 1, 0));
        both.into_iter().all(|reach| reach == Reach::Direct)
    };
    assert!(fleet.run_while_not(CONVERGENCE, direct).is_some());
}

#[test]
fn a_one_way_cut_between_two_entries_is_bridged_by_indirect_probes() {
    // Entry 0 reaches entry 4 of its zone but gets no answers back. Without indirect probes it would declare entry 4
    // dead again and again.
    let mut fleet = warmed_up(MIDDLE, 4);
    fleet.node_cuts.insert((4, 0));
    fleet.run(Duration::from_mins(3));
    assert_eq!(fleet.false_deaths(), 0);
    assert!(fleet.has_converged());
}

#[test]
fn a_zone_that_died_whole_is_declared_dead_by_the_vm_list() {
    // All entries of a zone die at once, so no member is left to detect it. That looks like a partition as long as the
    // VM list shows them; they are dead once it does not.
    let mut fleet = warmed_up(MIDDLE, 7);
    let victims: Vec<usize> = (0..MIDDLE.entries).filter(|index| index % 4 == 3).collect();
    for &victim in &victims {
        fleet.kill(victim);
    }
    let entries: Vec<vm::Listing> = (0..MIDDLE.entries).map(|index| entry_listing(&fleet, index)).collect();
    let alive: Vec<vm::Listing> = entries
        .iter()
        .enumerate()
        .filter(|(index, _)| index % 4 != 3)
        .map(|(_, listing)| listing.clone())
        .collect();
    let mut read = |list: &[vm::Listing]| {
        for _ in 0..4 {
            for node in 0..MIDDLE.entries {
                fleet.event(node, Event::VmsListed(list.to_vec()));
            }
            fleet.run(Duration::from_secs(20));
        }
        fleet.has_converged()
    };
    assert!(!read(&entries));
    assert!(read(&alive));
}

fn entry_listing(fleet: &Fleet, index: usize) -> vm::Listing {
    let me = fleet.nodes[index].kernel.me();
    vm::Listing {
        name: me.name.as_str().into(),
        incarnation: me.incarnation,
        address: me.address,
        zone: me.zone.clone(),
        class: "small".into(),
        market: vm::Market::Reclaimable,
        role: vm::Role::Entry,
        state: vm::State::Live,
    }
}

#[test]
fn two_halves_of_one_zone_find_each_other_again() {
    // A zone splits into halves that declare each other dead. Dead members are not probed, so without reconnection the
    // zone would stay split after healing.
    let shape = Shape { zones: 1, ..MIDDLE };
    let mut fleet = warmed_up(shape, 5);
    for left in 0..12 {
        for right in 12..24 {
            fleet.node_cuts.insert((left, right));
            fleet.node_cuts.insert((right, left));
        }
    }
    fleet.run(Duration::from_mins(2));
    let dead = |node: &support::Node| {
        let members = node.kernel.members().iter();
        members.filter(|(_, record)| record.state == State::Dead).count()
    };
    assert!(fleet.running().all(|(_, node)| dead(node) == 12));
    fleet.node_cuts.clear();
    let took = fleet.run_while_not(CONVERGENCE, Fleet::has_converged);
    assert!(took.is_some(), "the halves stay apart");
}

#[test]
fn views_converge_under_loss_and_duplicates_too() {
    // The cut of a whole zone, on a network that loses one frame in twenty and duplicates one in twenty.
    let mut fleet = warmed_up(MIDDLE, 6);
    fleet.faults = Faults {
        loss: 0.05,
        duplicate: 0.05,
        jitter: Duration::from_millis(20),
    };
    for zone in 0..3 {
        fleet.cut_zones(zone, 3);
    }
    fleet.kill(11);
    fleet.run(Duration::from_mins(2));
    let healed: Instant = fleet.now;
    fleet.zone_cuts.clear();
    let took = fleet.run_while_not(CONVERGENCE, Fleet::has_converged);
    assert!(took.is_some(), "not converged since {healed}");
}
