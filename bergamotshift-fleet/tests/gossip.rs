//! The queue of updates.

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::gossip::Queue;
use bergamotshift_fleet::gossip::Received;
use bergamotshift_fleet::note;
use bergamotshift_fleet::tag;
use bergamotshift_fleet::wire::Body;
use bergamotshift_fleet::wire::Frame;
use bergamotshift_fleet::wire::Item;
use bergamotshift_fleet::wire::Writer;

fn note(version: u64) -> Item {
    Item::Note(note::Note {
        topic: note::Topic::CONFIG,
        key: 0,
        version,
        age_s: 0,
        origin: tag::Long::UNKNOWN,
        body: Vec::new(),
    })
}

fn received(item: &Item) -> Received {
    Received::from([(item.key(), item.clone())])
}

fn fill(queue: &mut Queue, received: &Received) -> Vec<Item> {
    let mut writer = Writer::new(tag::Long::UNKNOWN, Body::Push, 500);
    queue.fill(Instant::ZERO, &mut writer, false, received);
    Frame::decode(&writer.finish()).map(|frame| frame.items).unwrap()
}

#[test]
fn an_outdated_update_is_answered_with_the_newer_one() {
    // An entry with configuration 2 is probed by one that still gossips configuration 1. The answer used to leave out
    // every key that the probe mentioned, so the prober stayed at 1 for seconds.
    let mut queue = Queue::default();
    queue.push(Instant::ZERO, note(2), 3);
    assert_eq!(fill(&mut queue, &received(&note(1))), [note(2)]);
    assert!(fill(&mut queue, &received(&note(2))).is_empty());
}

#[test]
fn only_a_duplicate_of_the_same_update_reduces_its_sends() {
    let mut queue = Queue::default();
    queue.push(Instant::ZERO, note(2), 1);
    queue.count_duplicate(&note(1));
    assert_eq!(queue.len(), 1);
    queue.count_duplicate(&note(2));
    assert!(queue.is_empty());
}

#[test]
fn an_update_is_sent_the_given_number_of_times_and_then_dropped() {
    let mut queue = Queue::default();
    queue.push(Instant::ZERO, note(1), 2);
    for _ in 0..2 {
        assert_eq!(fill(&mut queue, &Received::new()), [note(1)]);
    }
    assert!(fill(&mut queue, &Received::new()).is_empty());
    assert!(queue.is_empty());
}
