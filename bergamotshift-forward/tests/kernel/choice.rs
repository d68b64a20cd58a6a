//! Which endpoint gets a request.

use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::choice::CacheIndex;
use bergamotshift_forward::choice::Choice;
use bergamotshift_forward::choice::Request;
use bergamotshift_forward::choice::Settings;
use bergamotshift_forward::choice::choose;
use bergamotshift_forward::dialect::Metadata;
use bergamotshift_forward::dialect::Part;
use bergamotshift_forward::dialect::Size;
use bergamotshift_forward::document::Engine;
use bergamotshift_forward::endpoint::Endpoint;
use bergamotshift_forward::endpoint::RequestGuard;

use crate::support::at;
use crate::support::registration;

const ENGINE: Engine = Engine {
    slots: 64,
    memory: 500_000,
    transfer: Some(0.001),
};

fn endpoints(count: usize) -> Vec<Arc<Endpoint>> {
    let endpoint = |number| Arc::new(Endpoint::new(registration(&format!("e{number}"), "one")));
    (0..count).map(endpoint).collect()
}

fn ask() -> Metadata {
    Metadata {
        size: Some(Size {
            prompt: 15_000,
            output: 100,
        }),
        parts: vec![Part { id: 1, tokens: 12_000 }, Part { id: 2, tokens: 3_000 }],
        ..Metadata::default()
    }
}

fn chosen(endpoints: &[Arc<Endpoint>], engine: Option<Engine>, recall: &CacheIndex, tried: &[u64]) -> Option<Choice> {
    let ask = ask();
    let zone = name::Zone::new("one");
    let request = Request {
        ask: &ask,
        engine,
        own_zone: &zone,
        preferred_zone: None,
        tried,
        cache_sources: &[],
    };
    choose(&Settings::default(), at(1_000), endpoints, &request, recall)
}

#[test]
fn entries_that_know_nothing_agree() {
    let endpoints = endpoints(8);
    let mut turned = endpoints.clone();
    turned.rotate_left(3);
    let one = chosen(&endpoints, Some(ENGINE), &CacheIndex::default(), &[]).expect("one of them");
    let other = chosen(&turned, Some(ENGINE), &CacheIndex::default(), &[]).expect("one of them");
    assert_eq!(one.endpoint.hash, other.endpoint.hash);
}

#[test]
fn who_holds_the_prompt_reads_only_the_rest() {
    let endpoints = endpoints(8);
    let mut recall = CacheIndex::default();
    recall.record_choice(at(0), endpoints[5].hash, &ask().parts[..1]);
    let choice = chosen(&endpoints, Some(ENGINE), &recall, &[]).expect("one of them");
    assert_eq!(choice.endpoint.hash, endpoints[5].hash);
    assert_eq!(choice.unread, 3_000);
    assert_eq!(choice.source, None);
}

/// The endpoint that holds a prompt's shared part has much to read before. Another one gets the part over the engines'
/// link in milliseconds and begins sooner; without such a link it would read it anew.
#[test]
fn a_busy_holder_hands_its_part_to_an_idle_endpoint() {
    let endpoints = endpoints(8);
    let mut recall = CacheIndex::default();
    recall.record_choice(at(0), endpoints[5].hash, &ask().parts[..1]);
    let _busy = RequestGuard::take(Arc::clone(&endpoints[5]), 60_000);
    let choice = chosen(&endpoints, Some(ENGINE), &recall, &[]).expect("one of them");
    assert_ne!(choice.endpoint.hash, endpoints[5].hash);
    assert_eq!(choice.source, Some(endpoints[5].registration.address));
    assert_eq!(choice.unread, 3_000);
    let apart = Engine {
        transfer: None,
        ..ENGINE
    };
    let choice = chosen(&endpoints, Some(apart), &recall, &[]).expect("one of them");
    assert_eq!((choice.source, choice.unread), (None, 15_000));
}

#[test]
fn a_leaving_holder_is_still_a_source() {
    let endpoints = endpoints(3);
    let mut recall = CacheIndex::default();
    recall.record_choice(at(0), endpoints[1].hash, &ask().parts[..1]);
    endpoints[1].mark_leaving();
    let choice = chosen(&endpoints, Some(ENGINE), &recall, &[]).expect("one of the others");
    assert_ne!(choice.endpoint.hash, endpoints[1].hash);
    assert_eq!(choice.source, Some(endpoints[1].registration.address));
}

#[test]
fn an_endpoint_that_was_lost_is_taken_only_when_no_other_is_left() {
    let endpoints = endpoints(2);
    endpoints[0].health.record_unreachable(at(1_000));
    let first = chosen(&endpoints, None, &CacheIndex::default(), &[]).expect("the other one");
    assert_eq!(first.endpoint.hash, endpoints[1].hash);
    let second = chosen(&endpoints, None, &CacheIndex::default(), &[endpoints[1].hash]).expect("the lost one");
    assert_eq!(second.endpoint.hash, endpoints[0].hash);
}

#[test]
fn an_endpoint_that_fails_two_in_five_is_passed_over_though_it_is_idle() {
    let endpoints = endpoints(2);
    for turn in 0..20 {
        if turn % 5 < 2 {
            endpoints[0].health.record_failure();
        } else {
            endpoints[0].health.record_success();
        }
    }
    let _work: Vec<_> = (0..4)
        .map(|_| RequestGuard::take(Arc::clone(&endpoints[1]), 0))
        .collect();
    let choice = chosen(&endpoints, None, &CacheIndex::default(), &[]).expect("one of them");
    assert_eq!(choice.endpoint.hash, endpoints[1].hash);
}

#[test]
fn nothing_is_chosen_when_all_leave() {
    let endpoints = endpoints(2);
    for endpoint in &endpoints {
        endpoint.mark_leaving();
    }
    assert!(chosen(&endpoints, None, &CacheIndex::default(), &[]).is_none());
}

#[test]
fn readings_are_told_without_the_requests_own_part() {
    let mut recall = CacheIndex::default();
    recall.record_choice(at(0), 9, &ask().parts);
    let told = recall.announced(at(100));
    assert_eq!(told.iter().map(|reading| reading.part.id).collect::<Vec<_>>(), [1]);
    assert!(recall.announced(at(60_000)).is_empty());
}

/// An engine's memory is full and it drops what it used longest ago. Requests must not go on to it for that: they would be
/// read from the start, while another engine holds their beginning.
#[test]
fn an_engine_holds_no_more_than_its_memory_has_room_for() {
    let part = |id| Part { id, tokens: 100 };
    let mut recall = CacheIndex::default();
    recall.set_memory(400);
    for id in 1..=2 {
        recall.record_choice(at(id * 10), 9, &[part(id)]);
    }
    recall.record_choice(at(30), 9, &[part(1)]);
    recall.record_choice(at(40), 9, &[part(3)]);
    assert_eq!(recall.held_tokens(&[part(2)], 9), 0, "it was used longest ago");
    assert_eq!(recall.held_tokens(&[part(1)], 9), 100);
    assert_eq!(recall.held_tokens(&[part(3)], 9), 100);
    recall.expire(at(50), |endpoint| endpoint != 9);
    assert!(!recall.is_known(1), "the engine is gone");
}

/// A zone is cut off without a reset. Requests that go on to its engines hang until their callers leave, so engines of
/// zones that are heard come first, however busy they are.
#[test]
fn engines_of_a_silent_zone_are_left_for_last() {
    let endpoints = endpoints(4);
    let recall = CacheIndex::default();
    let first = chosen(&endpoints, Some(ENGINE), &recall, &[]).expect("one of them");
    first.endpoint.set_silent(true);
    let next = chosen(&endpoints, Some(ENGINE), &recall, &[]).expect("one of the others");
    assert_ne!(next.endpoint.hash, first.endpoint.hash);
    for endpoint in &endpoints {
        endpoint.set_silent(true);
    }
    assert!(
        chosen(&endpoints, Some(ENGINE), &recall, &[]).is_some(),
        "any is better than none"
    );
}

/// The own zone has engines enough, so others are weighed only when they hold something of the prompt or when all near ones
/// are busy. What is chosen must be the same as if all had been weighed.
#[test]
fn a_busy_zone_sends_on_what_another_zone_begins_sooner() {
    let near: Vec<_> = endpoints(12);
    let far = Arc::new(Endpoint::new(registration("far", "two")));
    let all: Vec<_> = near.iter().cloned().chain([Arc::clone(&far)]).collect();
    let recall = CacheIndex::default();
    let chosen_first = chosen(&all, Some(ENGINE), &recall, &[]).expect("a near one");
    assert_ne!(chosen_first.endpoint.hash, far.hash);
    let _busy: Vec<_> = near
        .iter()
        .map(|one| RequestGuard::take(Arc::clone(one), 100_000))
        .collect();
    let chosen_then = chosen(&all, Some(ENGINE), &recall, &[]).expect("the far one");
    assert_eq!(chosen_then.endpoint.hash, far.hash);
}
