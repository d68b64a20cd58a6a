//! The queue of news.

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::gossip::Queue;
use bergamotshift_fleet::gossip::Told;
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

fn told(item: &Item) -> Told {
    Told::from([(item.key(), item.clone())])
}

fn fill(queue: &mut Queue, told_by_it: &Told) -> Vec<Item> {
    let mut writer = Writer::new(tag::Long::UNKNOWN, Body::Push, 500);
    queue.fill(Instant::ZERO, &mut writer, false, told_by_it);
    Frame::decode(&writer.finish()).map(|frame| frame.items).unwrap()
}

#[test]
fn who_tells_old_news_is_told_the_newer() {
    // An entry probes another one and mentions configuration 1, which it is still spreading. The other one knows
    // configuration 2. When it left out all that the asker mentioned, the asker stayed at 1 for seconds.
    let mut queue = Queue::default();
    queue.push(Instant::ZERO, note(2), 3);
    assert_eq!(fill(&mut queue, &told(&note(1))), [note(2)]);
    assert!(fill(&mut queue, &told(&note(2))).is_empty());
}

#[test]
fn only_the_same_news_heard_again_is_told_less() {
    let mut queue = Queue::default();
    queue.push(Instant::ZERO, note(2), 1);
    queue.heard_again(&note(1));
    assert_eq!(queue.len(), 1);
    queue.heard_again(&note(2));
    assert!(queue.is_empty());
}

#[test]
fn news_is_told_as_often_as_asked_and_then_forgotten() {
    let mut queue = Queue::default();
    queue.push(Instant::ZERO, note(1), 2);
    for _ in 0..2 {
        assert_eq!(fill(&mut queue, &Told::new()), [note(1)]);
    }
    assert!(fill(&mut queue, &Told::new()).is_empty());
    assert!(queue.is_empty());
}
