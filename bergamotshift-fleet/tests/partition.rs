//! Zones that lose each other and come back.

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

/// Views of all entries agree again at the latest this long after a cut is mended.
const CONVERGENCE: Duration = Duration::from_secs(30);

const MIDDLE: Shape = Shape {
    entries: 24,
    endpoints: 32,
    ..Shape::TODAY
};

fn warm(shape: Shape, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(40));
    assert!(fleet.has_converged(), "the fleet did not form");
    fleet
}

fn reaches(fleet: &Fleet, from_zone: usize, to_zone: usize) -> Vec<Reach> {
    let to = zone_name(to_zone);
    fleet
        .running()
        .filter(|(_, node)| node.zone == from_zone)
        .map(|(_, node)| node.kernel.reach(fleet.now, &to))
        .collect()
}

fn leave(fleet: &mut Fleet, node: usize, endpoint: usize) -> endpoint::Id {
    let endpoint = fleet.endpoint(endpoint);
    let event = Event::EndpointLeaving {
        endpoint: endpoint.clone(),
        source: mark::Source::Notice,
        notice_ms: Some(30_000),
    };
    fleet.event(node, event);
    endpoint
}

fn holders(fleet: &Fleet, endpoint: &endpoint::Id) -> usize {
    fleet
        .running()
        .filter(|(_, node)| node.kernel.is_leaving(endpoint))
        .count()
}

#[test]
fn a_cut_between_two_zones_kills_nobody_and_news_goes_round() {
    // Callers see nothing: both zones still reach the others. Zones 0 and 1 lose each other for two minutes; an
    // endpoint of zone 0 leaves meanwhile. Zone 1 hears of it by way of zones 2 and 3, and no member is called dead,
    // since only members of one zone judge each other.
    let mut fleet = warm(MIDDLE, 1);
    fleet.cut_zones(0, 1);
    fleet.run(Duration::from_mins(1));
    assert!(reaches(&fleet, 0, 1).iter().all(|reach| *reach == Reach::Relayed));
    let endpoint = leave(&mut fleet, 0, 0);
    let took = fleet.run_while_not(Duration::from_secs(10), |fleet| {
        holders(fleet, &endpoint) == MIDDLE.entries
    });
    assert!(took.is_some(), "{} entries know", holders(&fleet, &endpoint));
    fleet.run(Duration::from_secs(50));
    assert_eq!(fleet.false_deaths(), 0);

    fleet.heal_zones(0, 1);
    let direct = |fleet: &Fleet| reaches(fleet, 0, 1).iter().all(|reach| *reach == Reach::Direct);
    assert!(fleet.run_while_not(CONVERGENCE, direct).is_some());
}

#[test]
fn a_zone_cut_off_from_all_catches_up_after_healing() {
    // Zone 3 is alone for five minutes. On each side an endpoint leaves and an entry dies; neither side hears of the
    // other's. After healing in this or that order all views are the same within the bound, marks included.
    for order in [[0, 1, 2], [2, 0, 1], [1, 2, 0]] {
        let mut fleet = warm(MIDDLE, 2);
        for zone in order {
            fleet.cut_zones(zone, 3);
        }
        fleet.run(Duration::from_mins(1));
        let inside = leave(&mut fleet, 3, 3);
        let outside = leave(&mut fleet, 0, 0);
        fleet.kill(7);
        fleet.kill(8);
        fleet.run(Duration::from_mins(4));
        assert_eq!(
            holders(&fleet, &inside),
            5,
            "zone 3 has five entries left and tells nobody else"
        );
        assert_eq!(holders(&fleet, &outside), 17);
        assert!(reaches(&fleet, 3, 0).iter().all(|reach| *reach == Reach::Lost));

        for zone in order {
            fleet.heal_zones(zone, 3);
            fleet.run(Duration::from_secs(3));
        }
        let settled =
            |fleet: &Fleet| fleet.has_converged() && holders(fleet, &inside) == 22 && holders(fleet, &outside) == 22;
        let took = fleet.run_while_not(CONVERGENCE, settled);
        assert!(took.is_some(), "healed in the order {order:?} without converging");
        assert_eq!(fleet.false_deaths(), 0);
    }
}

#[test]
fn a_one_way_cut_between_zones_is_seen_from_both_sides() {
    // Frames from zone 0 to zone 1 are lost, those from 1 to 0 arrive. Neither side gets an answer to its probes, so
    // both call the other one not directly reached; nobody dies; it ends with the cut.
    let mut fleet = warm(MIDDLE, 3);
    fleet.zone_cuts.insert((0, 1));
    fleet.run(Duration::from_mins(1));
    for (from, to) in [(0, 1), (1, 0)] {
        assert!(reaches(&fleet, from, to).iter().all(|reach| *reach == Reach::Relayed));
    }
    assert_eq!(fleet.false_deaths(), 0);
    fleet.zone_cuts.clear();
    let direct = |fleet: &Fleet| {
        let both = reaches(fleet, 0, 1).into_iter().chain(reaches(fleet, 1, 0));
        both.into_iter().all(|reach| reach == Reach::Direct)
    };
    assert!(fleet.run_while_not(CONVERGENCE, direct).is_some());
}

#[test]
fn a_one_way_cut_between_two_entries_is_bridged_by_indirect_probes() {
    // Entry 0 sends to entry 4 of its zone, but hears nothing back. Without indirect probes it would call entry 4
    // dead again and again; with them others of the zone answer for it.
    let mut fleet = warm(MIDDLE, 4);
    fleet.node_cuts.insert((4, 0));
    fleet.run(Duration::from_mins(3));
    assert_eq!(fleet.false_deaths(), 0);
    assert!(fleet.has_converged());
}

#[test]
fn a_zone_that_died_whole_is_buried_by_the_vm_list() {
    // All entries of a zone die at once and without a word, so nobody of the zone is left to notice. Cut off they would
    // look the same: as long as the VM list shows them, they stay members. Once it does not, they are dead.
    let mut fleet = warm(MIDDLE, 7);
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
    // A switch inside a zone fails: each half calls the other dead, rightly from where it stands. Nobody probes the
    // dead as members any more, so without reconnection the zone would stay split after the switch is mended.
    let shape = Shape { zones: 1, ..MIDDLE };
    let mut fleet = warm(shape, 5);
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
    // The same zone-wide cut, on a network that loses one frame in twenty and delivers one in twenty twice.
    let mut fleet = warm(MIDDLE, 6);
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
