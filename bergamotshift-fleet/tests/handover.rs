//! Handover of open requests: choice of keepers, order of the plan, and no request run twice.

use std::collections::BTreeSet;
use std::time::Duration;

use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_fleet::handover::Answer;
use bergamotshift_fleet::handover::Budget;
use bergamotshift_fleet::handover::Disposition;
use bergamotshift_fleet::handover::Error;
use bergamotshift_fleet::handover::Keeper;
use bergamotshift_fleet::handover::Key;
use bergamotshift_fleet::handover::Parcel;
use bergamotshift_fleet::handover::Plan;
use bergamotshift_fleet::handover::Progress;
use bergamotshift_fleet::handover::Question;
use bergamotshift_fleet::handover::Receipt;
use bergamotshift_fleet::handover::Request;
use bergamotshift_fleet::handover::Retrieval;
use bergamotshift_fleet::handover::candidates;
use bergamotshift_fleet::handover::keepers;
use bergamotshift_fleet::member;
use quickcheck::quickcheck;

const NOW: Instant = Instant::from_secs(100);

fn key(text: &str) -> Key {
    Key {
        organisation: "oranjehal".into(),
        service: "planner-llm".into(),
        text: text.into(),
    }
}

fn fleet(entries: usize, zones: usize) -> member::Table {
    let mut members = member::Table::default();
    for index in 0..entries {
        members.merge(member::Record {
            name: name::Entry::new(format!("entry-{index:03}")),
            incarnation: Incarnation::new(1),
            version: 0,
            state: member::State::Alive,
            address: ([10, 0, (index >> 8) as u8, index as u8], 1).into(),
            zone: name::Zone::new(format!("zone-{}", index % zones)),
        });
    }
    members
}

fn lose_zone(members: &mut member::Table, zone: &name::Zone) {
    let gone: Vec<member::Record> = members.in_zone(zone).map(|(_, record)| record.clone()).collect();
    for record in gone {
        members.merge(member::Record {
            state: member::State::Left,
            ..record
        });
    }
}

fn parcel(text: &str, progress: Progress) -> Parcel {
    Parcel {
        key: key(text),
        attempt: attempt::Id::new(7),
        hops: 0,
        repeatable: true,
        urgency: Urgency::Urgent,
        left_ms: 30_000,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: Vec::new(),
        body: b"{}".to_vec(),
        progress,
    }
}

fn running(answer: &[u8], delivered: u64) -> Progress {
    Progress::Running {
        answer: answer.to_vec(),
        delivered,
    }
}

#[test]
fn keepers_are_in_two_zones_other_than_the_lost_one_and_are_found() {
    // A whole zone is reclaimed with its entries. Each leaving entry chooses two keepers per request, and an entry that
    // does not know the request has to find both among its candidates.
    for (entries, zones) in [(8, 4), (50, 5), (390, 10)] {
        let before = fleet(entries, zones);
        for lost in 0..zones.min(4) {
            let zone = name::Zone::new(format!("zone-{lost}"));
            let leaving = name::Entry::new(format!("entry-{lost:03}"));
            let mut after = before.clone();
            lose_zone(&mut after, &zone);
            for request in 0..50 {
                let key = key(&format!("request-{request}"));
                let kept_by = keepers(&key, &before, &zone, &leaving);
                let kept_in: BTreeSet<_> = kept_by
                    .iter()
                    .filter_map(|keeper| before.get(*keeper))
                    .map(|record| record.zone.clone())
                    .collect();
                assert_eq!(kept_in.len(), 2);
                assert!(!kept_in.contains(&zone));
                for members in [&before, &after] {
                    let asked = candidates(&key, members);
                    let first: Vec<_> = asked.iter().take(3).collect();
                    assert!(
                        kept_by.iter().all(|keeper| first.contains(&keeper)),
                        "{entries}/{zones}"
                    );
                }
            }
        }
    }
}

#[test]
fn fleets_with_too_few_zones_still_have_keepers() {
    let zone = name::Zone::from("zone-0");
    let leaving = name::Entry::from("entry-000");
    for (entries, zones, expected) in [(4, 2, 2), (3, 1, 2), (2, 1, 1), (1, 1, 0)] {
        let members = fleet(entries, zones);
        let kept_by = keepers(&key("request"), &members, &zone, &leaving);
        assert_eq!(kept_by.len(), expected, "{entries} entries in {zones} zones");
        let is_self = |keeper| members.get(keeper).is_some_and(|record| record.name == leaving);
        assert!(!kept_by.into_iter().any(is_self));
    }
}

#[test]
fn a_plan_hands_over_the_urgent_and_nearly_finished_first() {
    let open = |text: &str, urgency, left_ms| Request {
        key: key(text),
        urgency,
        remaining: Duration::from_millis(left_ms),
        deadline: NOW + Duration::from_mins(1),
        bytes: 1_000_000,
        is_durable: false,
    };
    let mut job = open("job", Urgency::Deferrable, 60_000);
    job.is_durable = true;
    let mut late = open("late", Urgency::Urgent, 100);
    late.deadline = NOW;
    let open = vec![
        open("slow", Urgency::Normal, 20_000),
        job,
        late,
        open("urgent-long", Urgency::Urgent, 30_000),
        open("urgent-short", Urgency::Urgent, 4_000),
        open("done-soon", Urgency::Normal, 500),
        open("slower", Urgency::Normal, 25_000),
    ];
    let budget = Budget {
        notice: Duration::from_secs(5),
        // Enough for three parcels of a megabyte to two keepers each within 4.5 s.
        bytes_per_second: 1_400_000,
        reserve: Duration::from_millis(500),
    };
    let plan = Plan::new(NOW, open, budget);
    let steps: Vec<(&str, Disposition)> = plan
        .steps()
        .iter()
        .map(|(key, fate)| (key.text.as_str(), *fate))
        .collect();
    let expected = [
        ("urgent-short", Disposition::HandOver),
        ("urgent-long", Disposition::HandOver),
        ("done-soon", Disposition::Finish),
        ("slow", Disposition::HandOver),
        ("slower", Disposition::Refuse),
        ("job", Disposition::LeaveToPlatform),
    ];
    assert_eq!(steps, expected);
}

#[test]
fn reordered_copies_of_one_attempt_keep_the_most_advanced() {
    // The leaving entry sends a parcel and later a copy with more progress. The two arrive in either order.
    let early = parcel("request", running(b"one ", 1));
    let late = parcel("request", running(b"one two ", 2));
    for order in [[&early, &late], [&late, &early]] {
        let mut keeper = Keeper::default();
        for copy in order {
            keeper.put(NOW, copy.clone());
        }
        let taken = keeper.take(NOW, &key("request"), &"entry".into());
        assert_eq!(taken, Retrieval::Parcel(Box::new(late.clone())));
        assert_eq!(keeper.len(), 1);
    }
}

#[test]
fn a_sent_request_that_must_not_repeat_never_becomes_sendable_again() {
    // One entry handed the request over as waiting. The entry that took it sent it, left as well, and handed it over as
    // sent. The older parcel arrives last; if it won, the request would be sent a second time.
    let mut sent = parcel("request", Progress::Sent);
    sent.repeatable = false;
    sent.hops = 1;
    sent.attempt = attempt::Id::new(8);
    let mut waiting = parcel("request", Progress::Waiting);
    waiting.repeatable = false;
    for hops in [0, 1, 5] {
        waiting.hops = hops;
        let mut keeper = Keeper::default();
        assert_eq!(keeper.put(NOW, sent.clone()), Receipt::Kept);
        assert_eq!(keeper.put(NOW, waiting.clone()), Receipt::Known);
        let Retrieval::Parcel(parcel) = keeper.take(NOW, &key("request"), &"entry".into()) else {
            panic!("the parcel is kept");
        };
        assert_eq!(parcel.progress, Progress::Sent);
        assert!(!parcel.may_send());
    }
}

#[test]
fn a_caller_that_comes_back_twice_is_served_once() {
    // The caller reconnects to two entries at once. The first to ask continues the request; the second is referred to
    // the first until the retake timeout has passed.
    let mut keeper = Keeper::default();
    keeper.put(NOW, parcel("request", running(b"one ", 1)));
    let key = key("request");
    assert!(matches!(keeper.take(NOW, &key, &"first".into()), Retrieval::Parcel(_)));
    assert_eq!(
        keeper.take(NOW, &key, &"second".into()),
        Retrieval::Elsewhere("first".into())
    );
    assert!(matches!(keeper.take(NOW, &key, &"first".into()), Retrieval::Parcel(_)));
    let later = NOW + Keeper::RETAKE_TIMEOUT;
    assert!(matches!(
        keeper.take(later, &key, &"second".into()),
        Retrieval::Parcel(_)
    ));
    keeper.finish(&key);
    assert_eq!(keeper.take(later, &key, &"first".into()), Retrieval::Missing);
}

#[test]
fn parcels_expire_at_their_deadlines_and_respect_the_capacity() {
    let mut keeper = Keeper::new(parcel("a", Progress::Waiting).size() * 2);
    assert_eq!(keeper.put(NOW, parcel("a", Progress::Waiting)), Receipt::Kept);
    assert_eq!(keeper.put(NOW, parcel("b", Progress::Waiting)), Receipt::Kept);
    assert_eq!(keeper.put(NOW, parcel("c", Progress::Waiting)), Receipt::Full);
    let later = NOW + Duration::from_secs(10);
    let Retrieval::Parcel(taken) = keeper.take(later, &key("a"), &"entry".into()) else {
        panic!("the parcel is kept");
    };
    assert_eq!(taken.left_ms, 20_000);
    let end = NOW + Duration::from_secs(30);
    assert_eq!(keeper.take(end, &key("a"), &"entry".into()), Retrieval::Missing);
    assert_eq!(keeper.put(end, parcel("c", Progress::Waiting)), Receipt::Kept);
    assert_eq!(keeper.len(), 1);
}

#[test]
fn a_leaving_keeper_hands_its_parcels_on() {
    // The keeper itself leaves. Its parcels keep the rest of their time and get one hop more.
    let mut keeper = Keeper::default();
    keeper.put(NOW, parcel("request", running(b"one ", 1)));
    let drained = keeper.drain(NOW + Duration::from_secs(5));
    assert!(keeper.is_empty());
    let expected = Parcel {
        hops: 1,
        left_ms: 25_000,
        ..parcel("request", running(b"one ", 1))
    };
    assert_eq!(drained, [expected]);
}

#[test]
fn messages_of_another_version_are_refused() {
    let question = Question::Put(Box::new(parcel("request", Progress::Waiting)));
    let mut bytes = question.encode();
    assert_eq!(Question::decode(&bytes), Ok(question));
    bytes[0] = 2;
    assert_eq!(Question::decode(&bytes), Err(Error::Unreadable));
    assert_eq!(Answer::decode(&[1, 99]), Err(Error::Unreadable));
}

quickcheck! {
    fn the_order_of_copies_does_not_matter(copies: Vec<(u8, u8, bool)>) -> bool {
        // Copies of one attempt, each with some progress, arrive in any order.
        let parcels: Vec<Parcel> = copies
            .iter()
            .map(|(length, delivered, is_done)| {
                let answer = vec![b'x'; usize::from(*length)];
                let delivered = u64::from(*delivered);
                let progress = if *is_done {
                    Progress::Done { status: 200, headers: Vec::new(), answer, delivered }
                } else {
                    Progress::Running { answer, delivered }
                };
                parcel("request", progress)
            })
            .collect();
        let end = |order: &mut dyn Iterator<Item = &Parcel>| {
            let mut keeper = Keeper::default();
            for copy in order {
                keeper.put(NOW, copy.clone());
            }
            keeper.take(NOW, &key("request"), &"entry".into())
        };
        end(&mut parcels.iter()) == end(&mut parcels.iter().rev())
    }

    fn arbitrary_bytes_decode_or_are_refused(bytes: Vec<u8>) -> bool {
        Question::decode(&bytes).map_or(true, |question| Question::decode(&question.encode()) == Ok(question))
    }
}
