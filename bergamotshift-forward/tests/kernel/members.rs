//! Which other entries there are, and who asks whom.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::limits::Keeper;
use bergamotshift_forward::peers::Members;
use bergamotshift_forward::peers::State;

use crate::support::at;

fn state(entry: &str, reaches_store: bool) -> State {
    State {
        entry: entry.into(),
        life: 1,
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "one".into(),
        holds: false,
        holder: None,
        reaches_store,
        document: 0,
        document_known: None,
        endpoints: 0,
        endpoints_known: None,
        uses: Vec::new(),
        flown: Vec::new(),
        reading: Vec::new(),
        readings: Vec::new(),
        windows: BTreeMap::new(),
        suspicions: Vec::new(),
        members: Vec::new(),
    }
}

/// An entry that comes first in rank is cut off from the store but heard by the others. If they waited for its news,
/// changes would reach nobody in time. Only entries that reach the store count.
#[test]
fn who_does_not_reach_the_store_comes_before_nobody() {
    let mut members = Members::new("entry-2".into(), "one".into());
    members.heard_of(at(0), state("entry-1", true));
    assert_eq!(members.rank(at(100)), 1);
    members.heard_of(at(200), state("entry-1", false));
    assert_eq!(members.rank(at(300)), 0);
}

#[test]
fn who_is_silent_comes_before_nobody_and_is_forgotten_in_the_end() {
    let mut members = Members::new("entry-2".into(), "one".into());
    members.heard_of(at(0), state("entry-1", true));
    assert_eq!(members.rank(at(5_000)), 0);
    assert_eq!(members.count(), 2, "it may be restarted");
    assert_eq!(members.expire(at(60_000)), [name::Entry::new("entry-1")]);
    assert_eq!(members.count(), 1);
}

#[test]
fn every_entry_is_asked_in_turn() {
    let mut members = Members::new("entry-0".into(), "one".into());
    for number in 1..7 {
        members.heard_of(at(0), state(&format!("entry-{number}"), true));
    }
    let mut asked: Vec<_> = (1..=2)
        .flat_map(|round| members.due(at(round * 250), 3, None))
        .collect();
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 6);
}

#[test]
fn who_did_not_answer_is_left_alone_for_a_moment() {
    let mut members = Members::new("entry-0".into(), "one".into());
    members.heard_of(at(0), state("entry-1", true));
    members.failed(at(100), &"entry-1".into());
    assert!(members.due(at(300), 3, None).is_empty());
    assert_eq!(members.due(at(700), 3, None).len(), 1);
}

/// In a fleet of sixty entries each can hear only a few a second. The entries of the own zone, which share its
/// endpoints, are heard about twice a second all the same, and every other one within some seconds.
#[test]
fn in_a_large_fleet_the_own_zone_is_heard_most() {
    let mut members = Members::new("entry-0".into(), "one".into());
    for number in 1..60 {
        let mut state = state(&format!("entry-{number}"), true);
        state.zone = if number <= 6 { "one".into() } else { "two".into() };
        members.heard_of(at(0), state);
    }
    let mut near = 0;
    let mut far = std::collections::BTreeSet::new();
    for round in 1..=60 {
        for (entry, _) in members.due(at(round * 250), 3, None) {
            let number: u32 = entry.as_str()[6..].parse().expect("a number");
            if number <= 6 {
                near += 1;
            } else {
                far.insert(number);
            }
        }
    }
    assert_eq!((near, far.len()), (120, 53));
}

#[test]
fn a_small_fleet_has_no_keepers_and_a_large_one_keeps_those_that_fall_silent() {
    let mut members = Members::new("entry-00".into(), "one".into());
    for number in 1..10 {
        members.heard_of(at(0), state(&format!("entry-{number:02}"), true));
    }
    assert_eq!(members.keeper(at(10_000), &"horeca".into()), Keeper::Nobody);
    for number in 10..40 {
        members.heard_of(at(0), state(&format!("entry-{number:02}"), true));
    }
    let before = members.keeper(at(10_000), &"horeca".into());
    assert_ne!(before, Keeper::Nobody);
    assert_eq!(members.keeper(at(30_000), &"horeca".into()), before);
}

#[test]
fn the_holder_of_the_duties_is_asked_every_other_second_in_a_large_fleet() {
    let mut members = Members::new("entry-00".into(), "one".into());
    for number in 1..40 {
        members.heard_of(at(0), state(&format!("entry-{number:02}"), true));
    }
    let holder = name::Entry::new("entry-33");
    let asked = (8..48).filter(|round| {
        members
            .due(at(round * 250), 3, Some(&holder))
            .iter()
            .any(|(entry, _)| *entry == holder)
    });
    assert!((5..=7).contains(&asked.count()));
}

/// A VM is gone for good and its row is still read. Entries that never heard it do not name it to others, or it would be
/// remembered for ever and its share of each limit lie idle.
#[test]
fn who_was_never_heard_is_named_to_nobody_and_soon_forgotten() {
    let mut members = Members::new("entry-0".into(), "one".into());
    members.named(at(0), &"entry-1".into(), "127.0.0.1:9".parse().expect("an address"));
    assert!(members.addresses().is_empty());
    assert_eq!(members.expire(at(9_000)), [name::Entry::new("entry-1")]);
}
