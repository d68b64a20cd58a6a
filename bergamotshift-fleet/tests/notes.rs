//! Notes of other modules of an entry.

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::member::State;
use bergamotshift_fleet::prelude::*;
use bergamotshift_fleet::wire;
use rand_pcg::Pcg64Mcg;

fn record(name: &str, port: u16) -> member::Record {
    member::Record {
        name: name.into(),
        incarnation: Incarnation::new(1),
        version: 0,
        state: State::Alive,
        address: ([10, 0, 0, 1], port).into(),
        zone: "zone".into(),
    }
}

/// Delivers one item from another entry and returns the reported origins of notes.
fn receive(kernel: &mut Kernel, millis: u64, from: &member::Record, item: &wire::Item) -> Vec<Option<name::Entry>> {
    let mut frame = wire::Writer::new(from.tag(), wire::Body::Push, wire::MAX_DATAGRAM);
    assert!(frame.push(item));
    let event = Event::Received {
        from: from.address,
        bytes: frame.finish(),
    };
    let mut actions = Vec::new();
    kernel.handle(Instant::from_millis(millis), event, &mut actions);
    let origins = actions.into_iter().filter_map(|action| match action {
        Action::NoteReceived { origin, .. } => Some(origin),
        _ => None,
    });
    origins.collect()
}

/// A joining entry receives a note before it knows the entry that published it. The note is not new when it arrives
/// again, so the entry would never learn whom to ask for the content.
#[test]
fn a_note_is_delivered_again_once_its_origin_is_known() {
    let mut kernel = Kernel::new(Instant::ZERO, record("fresh", 1), Settings::default(), Pcg64Mcg::new(1));
    let first = record("first", 2);
    let item = wire::Item::Note(note::Note {
        topic: note::Topic::CONFIG,
        key: 0,
        version: 3,
        age_s: 0,
        origin: first.tag(),
        body: vec![1],
    });
    let member = wire::Item::Member(first.clone());
    assert_eq!(receive(&mut kernel, 10, &first, &item), [None]);
    assert_eq!(receive(&mut kernel, 20, &first, &member), [Some(first.name.clone())]);
    assert_eq!(receive(&mut kernel, 30, &first, &member), []);
    assert_eq!(receive(&mut kernel, 40, &first, &item), []);
}
