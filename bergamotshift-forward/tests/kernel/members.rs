//! Membership of the fleet, keepers of zones, and the schedule of exchanges.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::follow::Turn;
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
        relay: None,
        zone: "one".into(),
        core_share: 120,
        stage: Stage::Serves,
        holds_duties: false,
        lease: None,
        holder: None,
        handover: None,
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
        reported: 0,
        suspicions: Vec::new(),
        parts: Vec::new(),
        rates: Vec::new(),
        tolerances: Vec::new(),
        rollouts: Vec::new(),
        evidence: Vec::new(),
        zones: Vec::new(),
        members: Vec::new(),
    }
}

fn contact(entry: &str, core_share: u16) -> Contact {
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

/// Creates the membership list of an entry in a fleet of 40 entries in two zones that received all states at `now`.
fn large(now: Instant) -> Members {
    let mut members = self::members("entry-00");
    for number in 1..40 {
        let mut state = state(&format!("entry-{number:02}"), true);
        state.zone = if number < 20 { "one".into() } else { "two".into() };
        // Makes this entry the keeper of the other zone.
        state.core_share = if number == 33 { 500 } else { 120 };
        members.record_state(now, state);
    }
    members
}

/// Returns the name of the highest-ranked entry of zone `one`, except those in `without`.
fn first(without: &[&str]) -> String {
    let names: Vec<name::Entry> = (0..20)
        .map(|number| name::Entry::new(format!("entry-{number:02}")))
        .filter(|entry| !without.contains(&entry.as_str()))
        .collect();
    let candidates = names.iter().map(|entry| Candidate { entry, core_share: 120 });
    keeper::top_two(candidates)[0].expect("there is one").to_string()
}

/// Guards against entries that wait for changes from the first in order while that one cannot reach the store.
#[test]
fn entries_that_cannot_reach_the_store_do_not_rank() {
    let mut members = self::members("entry-2");
    members.record_state(at(0), state("entry-1", true));
    assert_eq!(members.turn(at(100)), Turn::Reader(1));
    members.record_state(at(200), state("entry-1", false));
    assert_eq!(members.turn(at(300)), Turn::Reader(0));
}

/// Guards against dozens of entries of a large fleet that each consider themselves the first to read the store, because
/// each has heard only some of the others lately. The keepers read, in the order of their zones, and their zones follow.
#[test]
fn in_a_large_fleet_only_the_keepers_read_for_others() {
    let mut turns = Vec::new();
    for own in 0..40 {
        let zone = |number: usize| -> name::Zone { if number < 20 { "one".into() } else { "two".into() } };
        let mut members = Members::new(format!("entry-{own:02}").as_str().into(), zone(own), 120);
        for number in (0..40).filter(|number| *number != own) {
            let mut state = state(&format!("entry-{number:02}"), true);
            state.zone = zone(number);
            members.record_state(at(1_000), state);
        }
        // Most states are older than those by which small fleets order entries.
        turns.push(members.turn(at(3_400)));
    }
    let readers: Vec<_> = turns.iter().filter(|turn| matches!(turn, Turn::Reader(_))).collect();
    assert_eq!(readers, [&Turn::Reader(0), &Turn::Reader(1)]);
    let places = |half: &[Turn]| {
        let mut places: Vec<_> = half
            .iter()
            .filter_map(|turn| match turn {
                Turn::Follower { place, members: 20 } => Some(*place),
                _ => None,
            })
            .collect();
        places.sort_unstable();
        places
    };
    let expected: Vec<_> = (1..20).collect();
    assert_eq!(places(&turns[..20]), expected);
    assert_eq!(places(&turns[20..]), expected);
}

/// Guards against a zone whose keeper waits for that of an earlier zone, which does not reach the store.
#[test]
fn a_keeper_that_cannot_reach_the_store_is_not_waited_for() {
    let mut members = Members::new("entry-33".into(), "two".into(), 500);
    for number in (0..40).filter(|number| *number != 33) {
        let mut state = state(&format!("entry-{number:02}"), number >= 20);
        state.zone = if number < 20 { "one".into() } else { "two".into() };
        members.record_state(at(1_000), state);
    }
    assert_eq!(members.turn(at(1_100)), Turn::Reader(0));
}

#[test]
fn silent_entries_do_not_rank_and_finally_expire() {
    let mut members = self::members("entry-2");
    members.record_state(at(0), state("entry-1", true));
    assert_eq!(members.turn(at(5_000)), Turn::Reader(0));
    assert_eq!(members.count(), 2, "it may be restarted");
    assert_eq!(members.expire(at(60_000)), [name::Entry::new("entry-1")]);
    assert_eq!(members.count(), 1);
}

/// Guards against entries that learn late what another one has just told them that it knows, because they contact those
/// first that they have not heard for longer.
#[test]
fn an_entry_that_is_ahead_is_contacted_first() {
    let mut members = large(at(1_000));
    let ahead: BTreeSet<name::Entry> = [name::Entry::new("entry-07"), name::Entry::new("entry-35")].into();
    members.record_state(at(2_000), state("entry-07", true));
    let due: Vec<_> = members
        .due(at(2_100), 3, None, &ahead)
        .into_iter()
        .map(|(entry, _)| entry)
        .collect();
    assert!(ahead.iter().all(|entry| due.contains(entry)), "{due:?}");
}

#[test]
fn every_entry_is_contacted_in_turn() {
    let mut members = self::members("entry-0");
    for number in 1..7 {
        members.record_state(at(0), state(&format!("entry-{number}"), true));
    }
    let mut contacted: Vec<_> = (1..=2)
        .flat_map(|round| members.due(at(round * 250), 3, None, &BTreeSet::new()))
        .collect();
    contacted.sort();
    contacted.dedup();
    assert_eq!(contacted.len(), 6);
}

#[test]
fn a_failed_call_starts_a_backoff() {
    let mut members = self::members("entry-0");
    members.record_state(at(0), state("entry-1", true));
    members.record_failure(at(100), &"entry-1".into(), false);
    assert!(members.due(at(300), 3, None, &BTreeSet::new()).is_empty());
    assert_eq!(members.due(at(700), 3, None, &BTreeSet::new()).len(), 1);
}

/// In a fleet of sixty entries each can contact only a few per second. Entries of its own zone, which share the
/// endpoints there, still come up about twice a second, and all others within some seconds.
#[test]
fn in_a_large_fleet_the_own_zone_is_contacted_most() {
    let mut members = self::members("entry-0");
    for number in 1..60 {
        let mut state = state(&format!("entry-{number}"), true);
        state.zone = if number <= 6 { "one".into() } else { "two".into() };
        members.record_state(at(0), state);
    }
    let mut local = 0;
    let mut remote = std::collections::BTreeSet::new();
    for round in 1..=60 {
        for (entry, _) in members.due(at(round * 250), 3, None, &BTreeSet::new()) {
            let number: u32 = entry.as_str()[6..].parse().expect("a number");
            if number <= 6 {
                local += 1;
            } else {
                remote.insert(number);
            }
        }
    }
    assert_eq!((local, remote.len()), (120, 53));
}

#[test]
fn a_small_fleet_has_no_keepers() {
    let mut members = self::members("entry-00");
    for number in 1..10 {
        members.record_state(at(0), state(&format!("entry-{number:02}"), true));
    }
    assert_eq!(members.keeping(at(100)), Keepers::default());
}

/// The keeper of a zone stops sending. It remains the keeper, with its deputy standing in, as long as its messages may
/// merely be late; then the deputy takes over. A keeper that announces its shutdown is replaced at once.
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

/// Guards against a partitioned entry to which all others look dead, and which makes itself the keeper and grants the
/// same units as the real one.
#[test]
fn who_hears_nobody_of_its_zone_keeps_nothing() {
    let mut members = Members::new(first(&[]).as_str().into(), "one".into(), 900);
    for number in 0..40 {
        members.record_state(at(10_000), state(&format!("entry-{number:02}"), true));
    }
    assert_eq!(members.keeping(at(11_000)).keeper, Keeper::Own);
    assert_eq!(members.keeping(at(13_000)).keeper, Keeper::Unknown);
}

/// In a large fleet an entry receives each other one's state only every few seconds. Reports of others keep it alive in
/// between.
#[test]
fn entries_heard_by_others_are_alive() {
    let mut members = large(at(10_000));
    let mut other = large(at(13_000));
    let (zones, names) = other.member_list(at(13_100));
    assert_eq!(members.keeping(at(13_100)).keeper, Keeper::Unknown);
    members.merge_members(at(13_100), &zones, &names);
    assert_eq!(members.keeping(at(13_200)), other.keeping(at(13_200)));
    assert_ne!(other.keeping(at(13_200)).keeper, Keeper::Unknown);
    other.set_stopping();
    assert_ne!(other.keeping(at(13_200)).keeper, Keeper::Own);
}

/// All entries start at once and know one another from the stored list alone. The likely keeper is contacted in the
/// first round, so that callers do not wait for it.
#[test]
fn who_starts_asks_the_likely_keeper_first() {
    let mut members = self::members("entry-00");
    for number in 1..40 {
        let core_share = if number == 33 { 500 } else { 120 };
        members.add_contact(at(10_000), &contact(&format!("entry-{number:02}"), core_share));
    }
    assert_eq!(members.keeping(at(10_000)).keeper, Keeper::Unknown);
    let due = members.due(at(10_000), 3, None, &BTreeSet::new());
    assert!(due.iter().any(|(entry, _)| entry.as_str() == "entry-33"), "{due:?}");
}

#[test]
fn keepers_of_zones_contact_one_another_each_round() {
    let mut members = Members::new("entry-00".into(), "one".into(), 900);
    for number in 1..40 {
        let mut state = state(&format!("entry-{number:02}"), true);
        state.zone = if number < 20 { "one".into() } else { "two".into() };
        state.core_share = if number == 33 { 500 } else { 120 };
        members.record_state(at(10_000), state);
    }
    let other = name::Entry::new("entry-33");
    for round in 1..6 {
        let due = members.due(at(10_000 + round * 250), 3, None, &BTreeSet::new());
        assert!(due.iter().any(|(entry, _)| *entry == other), "in round {round}");
    }
}

#[test]
fn the_holder_of_the_duties_is_contacted_every_other_second_in_a_large_fleet() {
    let mut members = self::members("entry-00");
    for number in 1..40 {
        members.record_state(at(0), state(&format!("entry-{number:02}"), true));
    }
    let holder = name::Entry::new("entry-33");
    let contacted = (8..48).filter(|round| {
        members
            .due(at(round * 250), 3, Some(&holder), &BTreeSet::new())
            .iter()
            .any(|(entry, _)| *entry == holder)
    });
    assert!((5..=7).contains(&contacted.count()));
}

/// Guards against an entry that is gone for good while its row is still read: if others kept telling each other of it,
/// it would never expire, and its share of each limit would stay unused.
#[test]
fn who_was_never_heard_is_named_to_nobody_and_soon_forgotten() {
    let mut members = self::members("entry-0");
    members.add_contact(at(0), &contact("entry-1", 120));
    assert!(members.member_list(at(0)).1.is_empty());
    assert_eq!(members.expire(at(9_000)), [name::Entry::new("entry-1")]);
}

/// Guards against an entry that takes its own partition for an outage of the store, and keeps using endpoints that left
/// meanwhile. The store counts as down only if no other entry reaches it either and other zones are not unreachable.
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

/// An entry whose calls to other zones time out is partitioned. If the processes there merely ended, their VMs refuse
/// the connections, and it is not.
#[test]
fn who_asks_other_zones_in_vain_is_cut_off() {
    for (timed_out, expected) in [(true, true), (false, false)] {
        let mut members = large(at(10_000));
        assert!(!members.is_cut_off(at(10_500)));
        for number in 1..20 {
            members.record_state(at(11_400), state(&format!("entry-{number:02}"), true));
        }
        members.record_failure(at(11_400), &"entry-33".into(), timed_out);
        assert_eq!(members.is_cut_off(at(11_500)), expected);
        let mut remote = state("entry-34", true);
        remote.zone = "two".into();
        members.record_state(at(11_600), remote);
        assert!(!members.is_cut_off(at(11_700)), "one is heard again");
    }
}

/// Guards against membership lists that fill the links of small VMs, as they grow with the fleet: each of 300 entries lists
/// its own zone and the keepers of the others, and one round in sixteen some more, so that it has listed all in a while.
#[test]
fn a_large_fleet_sends_member_lists_of_bounded_length() {
    const MAX_OTHERS: usize = 64;
    let mut members = self::members("entry-000");
    for number in 1..300 {
        let mut state = state(&format!("entry-{number:03}"), true);
        state.zone = format!("zone-{}", number % 4).as_str().into();
        members.record_state(at(60_000), state);
    }
    for number in 300..310 {
        members.record_state(at(60_000), state(&format!("entry-{number}"), true));
    }
    let list = |members: &Members, round: u64| members.member_list(at(60_000 + round * 250)).1;
    let named: Vec<usize> = (0..16).map(|round| list(&members, round).len()).collect();
    assert_eq!(named.iter().filter(|count| **count <= 14).count(), 15, "{named:?}");
    assert!(named.iter().all(|count| *count <= 14 + MAX_OTHERS), "{named:?}");
    let all: BTreeSet<_> = (0..32 * 16)
        .flat_map(|round| list(&members, round))
        .map(|member| member.entry)
        .collect();
    assert_eq!(all.len(), 309, "some are never listed");
    assert!(members.is_brief(at(60_100), &"entry-001".into()) || members.is_brief(at(60_100), &"entry-005".into()));
    assert!(
        !members.is_brief(at(60_100), &"entry-300".into()),
        "it lies in the own zone"
    );
    members.set_started(at(60_000));
    let all: BTreeSet<_> = (0..8)
        .flat_map(|round| list(&members, round))
        .map(|member| member.entry)
        .collect();
    assert_eq!(all.len(), 309, "it starts, and lists all within two seconds");
    assert!((0..8).all(|round| list(&members, round).len() <= 14 + MAX_OTHERS));
    assert!(!members.is_brief(at(60_500), &"entry-001".into()));
}

/// Guards against lists of a zone that grow with the fleet, and against lists that leave out the keeper of the zone, so that
/// it does not count as alive there.
#[test]
fn a_large_zone_is_listed_by_its_last_news() {
    let mut members = self::members("entry-000");
    for number in 1..500 {
        let mut state = state(&format!("entry-{number:03}"), true);
        state.core_share = if number == 250 { 1_000 } else { 120 };
        members.record_state(at(60_000 + number), state);
    }
    let listed: Vec<_> = members
        .member_list(at(61_250))
        .1
        .into_iter()
        .map(|member| member.entry)
        .collect();
    assert!(listed.len() <= 50, "{} are listed", listed.len());
    assert!(listed.contains(&"entry-499".into()), "it was heard last");
    assert!(listed.contains(&"entry-250".into()), "it is the keeper");
}

/// Guards against permits from entries that exchange states too seldom: in a large fleet only keepers grant.
#[test]
fn in_a_large_fleet_only_keepers_grant() {
    let now = at(10_000);
    let granters = large(now).granters(now, true);
    assert_eq!(granters.len(), 2, "one for each zone");
}

/// Guards against entries that start at once and each grant an endpoint's full burst before they know one another.
#[test]
fn a_starting_entry_grants_nothing_while_it_may_have_peers() {
    let mut members = self::members("entry-0");
    members.set_started(at(100));
    assert_eq!(members.granters(at(200), false), []);
    assert_eq!(members.granters(at(200), true).len(), 1, "it is the only one");
    members.add_contact(at(200), &contact("entry-1", 120));
    assert_eq!(members.granters(at(300), true), []);
    assert_eq!(members.granters(at(9_000), true).len(), 1, "the other one is gone");
    members.record_state(at(9_100), state("entry-1", true));
    assert_eq!(members.granters(at(9_200), true).len(), 2);
}

/// Guards against requests for permits to an entry that is shutting down.
#[test]
fn a_stopping_entry_grants_nothing() {
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

/// Guards against the last words of an ended process that arrive late and are taken for those of its successor.
#[test]
fn a_process_is_superseded_for_a_while_once_its_entry_started_again() {
    let mut members = Members::new("own".into(), "one".into(), 120);
    let former = state("other", true);
    let later = State {
        incarnation: 2,
        ..state("other", true)
    };
    members.record_state(at(1_000), former.clone());
    assert!(!members.is_superseded(at(1_000), &former.process()));
    members.record_state(at(2_000), later.clone());
    assert!(members.is_superseded(at(2_100), &former.process()));
    assert!(!members.is_superseded(at(2_100), &later.process()));
    // Which one came first is known by arrival only, so a wrong order does not last.
    assert!(!members.is_superseded(at(6_000), &former.process()));
}
