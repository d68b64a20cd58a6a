//! Which other entries there are, and who asks whom.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::limits::Keeper;
use bergamotshift_forward::limits::Keepers;
use bergamotshift_forward::limits::keeper;
use bergamotshift_forward::limits::keeper::Candidate;
use bergamotshift_forward::peers::Contact;
use bergamotshift_forward::peers::Members;
use bergamotshift_forward::peers::Stage;
use bergamotshift_forward::peers::State;

use crate::support::at;

pub fn state(entry: &str, reaches_store: bool) -> State {
    State {
        entry: entry.into(),
        incarnation: 1,
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "one".into(),
        core_share: 120,
        stage: Stage::Serves,
        holds_duties: false,
        lease: None,
        holder: None,
        reaches_store,
        document: 0,
        document_freshness: None,
        endpoints: 0,
        endpoints_freshness: None,
        limit_usage: Vec::new(),
        in_flight: Vec::new(),
        prompt_rates: Vec::new(),
        cached_parts: Vec::new(),
        windows: BTreeMap::new(),
        suspicions: Vec::new(),
        rates: Vec::new(),
        rollouts: Vec::new(),
        evidence: Vec::new(),
        zones: Vec::new(),
        members: Vec::new(),
    }
}

fn listed(entry: &str, core_share: u16) -> Contact {
    Contact {
        entry: entry.into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "one".into(),
        core_share,
    }
}

pub fn members(own: &str) -> Members {
    Members::new(own.into(), "one".into(), 120)
}

/// Makes a member of a fleet of 40 entries in two zones, who heard all others at a moment.
fn large(now: Instant) -> Members {
    let mut members = self::members("entry-00");
    for number in 1..40 {
        let mut state = state(&format!("entry-{number:02}"), true);
        state.zone = if number < 20 { "one".into() } else { "two".into() };
        // The other zone's keeper is known beforehand.
        state.core_share = if number == 33 { 500 } else { 120 };
        members.record_state(now, state);
    }
    members
}

/// Returns the name of the entry of zone `one` that comes first, without some.
fn first(without: &[&str]) -> String {
    let names: Vec<name::Entry> = (0..20)
        .map(|number| name::Entry::new(format!("entry-{number:02}")))
        .filter(|entry| !without.contains(&entry.as_str()))
        .collect();
    let candidates = names.iter().map(|entry| Candidate { entry, core_share: 120 });
    keeper::top_two(candidates)[0].expect("there is one").to_string()
}

/// An entry that comes first in rank is cut off from the store but heard by the others. If they waited for its news,
/// changes would reach nobody in time. Only entries that reach the store count.
#[test]
fn who_does_not_reach_the_store_comes_before_nobody() {
    let mut members = self::members("entry-2");
    members.record_state(at(0), state("entry-1", true));
    assert_eq!(members.rank(at(100)), 1);
    members.record_state(at(200), state("entry-1", false));
    assert_eq!(members.rank(at(300)), 0);
}

#[test]
fn who_is_silent_comes_before_nobody_and_is_forgotten_in_the_end() {
    let mut members = self::members("entry-2");
    members.record_state(at(0), state("entry-1", true));
    assert_eq!(members.rank(at(5_000)), 0);
    assert_eq!(members.count(), 2, "it may be restarted");
    assert_eq!(members.expire(at(60_000)), [name::Entry::new("entry-1")]);
    assert_eq!(members.count(), 1);
}

#[test]
fn every_entry_is_asked_in_turn() {
    let mut members = self::members("entry-0");
    for number in 1..7 {
        members.record_state(at(0), state(&format!("entry-{number}"), true));
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
    let mut members = self::members("entry-0");
    members.record_state(at(0), state("entry-1", true));
    members.record_failure(at(100), &"entry-1".into(), false);
    assert!(members.due(at(300), 3, None).is_empty());
    assert_eq!(members.due(at(700), 3, None).len(), 1);
}

/// In a fleet of sixty entries each can hear only a few a second. The entries of the own zone, which share its
/// endpoints, are heard about twice a second all the same, and every other one within some seconds.
#[test]
fn in_a_large_fleet_the_own_zone_is_heard_most() {
    let mut members = self::members("entry-0");
    for number in 1..60 {
        let mut state = state(&format!("entry-{number}"), true);
        state.zone = if number <= 6 { "one".into() } else { "two".into() };
        members.record_state(at(0), state);
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
fn a_small_fleet_has_no_keepers() {
    let mut members = self::members("entry-00");
    for number in 1..10 {
        members.record_state(at(0), state(&format!("entry-{number:02}"), true));
    }
    assert_eq!(members.keeping(at(100)), Keepers::default());
}

/// The keeper of a zone falls silent. For as long as it may merely be heard late it stays the keeper, and its deputy is
/// asked in its place; then the deputy follows it. An entry that says that it stops is followed at once.
#[test]
fn a_keeper_that_falls_silent_is_followed_by_its_deputy() {
    let own = first(&[]);
    let next = first(&[&own]);
    let mut members = Members::new(next.as_str().into(), "one".into(), 120);
    for number in 0..40 {
        let name = format!("entry-{number:02}");
        let mut state = state(&name, true);
        state.zone = if number < 20 { "one".into() } else { "two".into() };
        members.record_state(at(10_000), state);
    }
    let keeping = members.keeping(at(12_000));
    assert!(matches!(keeping.keeper, Keeper::Other(_)) && keeping.is_deputy);
    for number in (0..40).filter(|number| format!("entry-{number:02}") != own) {
        members.record_state(at(11_900), state(&format!("entry-{number:02}"), true));
    }
    assert_eq!(members.keeping(at(12_600)).keeper, Keeper::Own);

    let mut leaving = state(&own, true);
    leaving.stage = Stage::Stops;
    members.record_state(at(12_700), state(&own, true));
    assert!(matches!(members.keeping(at(12_700)).keeper, Keeper::Other(_)));
    members.record_state(at(12_800), leaving);
    assert_eq!(members.keeping(at(12_800)).keeper, Keeper::Own);
}

/// A VM is cut off. It hears nobody of its zone, so everybody else looks dead to it; would it keep the zone then, it would
/// grant what the real keeper grants too.
#[test]
fn who_hears_nobody_of_its_zone_keeps_nothing() {
    let mut members = Members::new(first(&[]).as_str().into(), "one".into(), 900);
    for number in 0..40 {
        members.record_state(at(10_000), state(&format!("entry-{number:02}"), true));
    }
    assert_eq!(members.keeping(at(11_000)).keeper, Keeper::Own);
    assert_eq!(members.keeping(at(13_000)).keeper, Keeper::Unknown);
}

/// In a large fleet an entry hears each other one directly every few seconds. Word of others who heard it counts, or it
/// would look dead in between.
#[test]
fn who_was_heard_by_others_is_alive() {
    let mut members = large(at(10_000));
    let mut told = large(at(13_000));
    let (zones, names) = told.member_list(at(13_100));
    assert_eq!(members.keeping(at(13_100)).keeper, Keeper::Unknown);
    members.merge_members(at(13_100), &zones, &names);
    assert_eq!(members.keeping(at(13_200)), told.keeping(at(13_200)));
    assert_ne!(told.keeping(at(13_200)).keeper, Keeper::Unknown);
    told.set_stopping();
    assert_ne!(told.keeping(at(13_200)).keeper, Keeper::Own);
}

/// All entries start at once and know one another from the list alone. The one that would keep the zone is asked in the
/// first round; after it was heard, nobody waits for it any more.
#[test]
fn who_starts_asks_the_likely_keeper_first() {
    let mut members = self::members("entry-00");
    for number in 1..40 {
        let core_share = if number == 33 { 500 } else { 120 };
        members.add_contact(at(10_000), &listed(&format!("entry-{number:02}"), core_share));
    }
    assert_eq!(members.keeping(at(10_000)).keeper, Keeper::Unknown);
    let due = members.due(at(10_000), 3, None);
    assert!(due.iter().any(|(entry, _)| entry.as_str() == "entry-33"), "{due:?}");
}

#[test]
fn keepers_of_zones_ask_one_another_each_round() {
    let mut members = Members::new("entry-00".into(), "one".into(), 900);
    for number in 1..40 {
        let mut state = state(&format!("entry-{number:02}"), true);
        state.zone = if number < 20 { "one".into() } else { "two".into() };
        state.core_share = if number == 33 { 500 } else { 120 };
        members.record_state(at(10_000), state);
    }
    let other = name::Entry::new("entry-33");
    for round in 1..6 {
        let due = members.due(at(10_000 + round * 250), 3, None);
        assert!(due.iter().any(|(entry, _)| *entry == other), "in round {round}");
    }
}

#[test]
fn the_holder_of_the_duties_is_asked_every_other_second_in_a_large_fleet() {
    let mut members = self::members("entry-00");
    for number in 1..40 {
        members.record_state(at(0), state(&format!("entry-{number:02}"), true));
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
    let mut members = self::members("entry-0");
    members.add_contact(at(0), &listed("entry-1", 120));
    assert!(members.member_list(at(0)).1.is_empty());
    assert_eq!(members.expire(at(9_000)), [name::Entry::new("entry-1")]);
}

/// A zone is cut off for five seconds, and endpoints there leave. Its entries' calls of the store fail, but it is not the store
/// that is away: others go on reading it, and what they tell after the cut is true at once. A store that nobody reaches is
/// away, as far as this entry can tell.
#[test]
fn a_cut_off_entry_does_not_take_the_store_for_away() {
    const SPAN: Duration = Duration::from_millis(1_500);
    let mut members = large(at(10_000));
    assert!(!members.suspects_store_outage(at(10_500), SPAN), "others reach it");
    for number in 1..20 {
        members.record_state(at(11_800), state(&format!("entry-{number:02}"), false));
    }
    assert!(
        members.suspects_store_outage(at(11_900), SPAN),
        "nobody says that it reaches it"
    );
    members.record_failure(at(11_800), &"entry-33".into(), true);
    assert!(
        !members.suspects_store_outage(at(11_900), SPAN),
        "no other zone is heard"
    );
}

/// A zone is cut off. Its entries hear each other and ask those of other zones in vain, so after a moment they know; when
/// the others' processes merely ended, their VMs refuse the connections and nobody is cut off.
#[test]
fn who_asks_other_zones_in_vain_is_cut_off() {
    for (is_silent, expected) in [(true, true), (false, false)] {
        let mut members = large(at(10_000));
        assert!(!members.is_cut_off(at(10_500)));
        for number in 1..20 {
            members.record_state(at(11_400), state(&format!("entry-{number:02}"), true));
        }
        members.record_failure(at(11_400), &"entry-33".into(), is_silent);
        assert_eq!(members.is_cut_off(at(11_500)), expected);
        let mut far = state("entry-34", true);
        far.zone = "two".into();
        members.record_state(at(11_600), far);
        assert!(!members.is_cut_off(at(11_700)), "one is heard again");
    }
}

/// Three hundred entries tell each other whom they know. If each named all others each time, their words would fill the
/// links of small VMs; they name their own zone and the keepers of the others, and all of them once in a while.
#[test]
fn a_large_fleet_names_all_entries_only_once_in_a_while() {
    let mut members = self::members("entry-000");
    for number in 1..300 {
        let mut state = state(&format!("entry-{number:03}"), true);
        state.zone = format!("zone-{}", number % 4).as_str().into();
        members.record_state(at(60_000), state);
    }
    for number in 300..310 {
        members.record_state(at(60_000), state(&format!("entry-{number}"), true));
    }
    let named: Vec<usize> = (0..16)
        .map(|round| members.member_list(at(60_000 + round * 250)).1.len())
        .collect();
    assert_eq!(named.iter().filter(|count| **count == 309).count(), 1, "{named:?}");
    assert_eq!(named.iter().filter(|count| **count <= 14).count(), 15, "{named:?}");
    assert!(members.is_brief(at(60_100), &"entry-001".into()) || members.is_brief(at(60_100), &"entry-005".into()));
    assert!(
        !members.is_brief(at(60_100), &"entry-300".into()),
        "it lies in the own zone"
    );
    members.set_started(at(60_000));
    assert_eq!(members.member_list(at(60_500)).1.len(), 309, "it starts");
    assert!(!members.is_brief(at(60_500), &"entry-001".into()));
}

/// Guards against an endpoint's budget at entries that hear one another seldom: in a large fleet only keepers grant.
#[test]
fn in_a_large_fleet_the_keepers_grant() {
    let now = at(10_000);
    let granters = large(now).granters(now, true);
    assert_eq!(granters.len(), 2, "one for each zone");
}

/// Guards against entries that start at once and each grant an endpoint's burst, as they have not heard one another yet.
#[test]
fn who_starts_and_has_heard_nobody_grants_nothing_while_there_may_be_others() {
    let mut members = self::members("entry-0");
    members.set_started(at(100));
    assert_eq!(members.granters(at(200), false), []);
    assert_eq!(members.granters(at(200), true).len(), 1, "it is the only one");
    members.add_contact(at(200), &listed("entry-1", 120));
    assert_eq!(members.granters(at(300), true), []);
    assert_eq!(members.granters(at(9_000), true).len(), 1, "the other one is gone");
    members.record_state(at(9_100), state("entry-1", true));
    assert_eq!(members.granters(at(9_200), true).len(), 2);
}

/// Guards against an entry that is asked for permits although it is about to end.
#[test]
fn who_stops_grants_nothing() {
    let mut members = self::members("entry-0");
    members.record_state(at(100), state("entry-1", true));
    members.record_state(at(100), state("entry-2", true));
    assert_eq!(members.granters(at(150), true).len(), 3);
    let mut stopping = state("entry-1", true);
    stopping.stage = Stage::Stops;
    members.record_state(at(200), stopping);
    assert_eq!(members.granters(at(300), true).len(), 2);
    members.set_stopping();
    assert_eq!(members.granters(at(300), true).len(), 1);
}
