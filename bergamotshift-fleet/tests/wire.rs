//! Frames: encoding round trips, and malformed input is refused without harm.

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::load;
use bergamotshift_fleet::member;
use bergamotshift_fleet::note;
use bergamotshift_fleet::tag;
use bergamotshift_fleet::wire::Body;
use bergamotshift_fleet::wire::Error;
use bergamotshift_fleet::wire::Frame;
use bergamotshift_fleet::wire::Item;
use bergamotshift_fleet::wire::MAX_STREAM;
use bergamotshift_fleet::wire::Writer;
use quickcheck::quickcheck;

fn record(index: u16) -> member::Record {
    member::Record {
        name: name::Entry::new(format!("entry-{index}")),
        incarnation: Incarnation::new(u64::from(index) + 1),
        version: 3,
        state: member::State::Suspect,
        address: ([10, 0, 0, 1], index).into(),
        zone: "zone".into(),
    }
}

fn frame() -> Frame {
    let note = note::Note {
        topic: note::Topic::QUARANTINE,
        key: 9,
        version: 2,
        age_s: 1,
        origin: record(1).tag(),
        body: vec![1, 2, 3],
    };
    Frame {
        from: record(1).tag(),
        body: Body::Ping {
            sequence: 70_000,
            target: record(2).tag(),
        },
        items: vec![Item::Member(record(3)), Item::Member(record(4)), Item::Note(note)],
    }
}

#[test]
fn a_frame_round_trips() {
    assert_eq!(Frame::decode(&frame().encode()), Ok(frame()));
}

#[test]
fn items_of_an_unknown_kind_are_skipped() {
    // A newer entry sends a kind of item that this version does not know. The other items still count; otherwise the
    // first upgraded entry would cut itself off.
    let mut bytes = frame().encode();
    bytes.extend([200, 3, 1, 2, 3]);
    assert_eq!(Frame::decode(&bytes), Ok(frame()));
}

#[test]
fn unknown_bodies_layouts_and_sizes_are_errors() {
    let bytes = frame().encode();
    let mut layout = bytes.clone();
    layout[0] = 9;
    assert_eq!(Frame::decode(&layout), Err(Error::Version(9)));
    let mut body = bytes.clone();
    body[10] = 99;
    assert_eq!(Frame::decode(&body), Err(Error::Body));
    assert_eq!(Frame::decode(&bytes[..5]), Err(Error::Short));
    let size = MAX_STREAM + 1;
    assert_eq!(Frame::decode(&vec![1; size]), Err(Error::Size(size)));
}

#[test]
fn a_writer_never_passes_its_limit() {
    for limit in [60, 100, 333, 1_100] {
        let mut writer = Writer::new(tag::Long::UNKNOWN, Body::Push, limit);
        let taken = (0..100)
            .filter(|index| writer.push(&Item::Member(record(*index))))
            .count();
        let bytes = writer.finish();
        assert!(bytes.len() <= limit, "{} bytes for {limit}", bytes.len());
        let items = Frame::decode(&bytes).map(|frame| frame.items.len());
        assert_eq!(items, Ok(taken));
    }
}

quickcheck! {
    fn arbitrary_bytes_decode_or_are_refused(bytes: Vec<u8>) -> bool {
        Frame::decode(&bytes).map_or(true, |frame| Frame::decode(&frame.encode()) == Ok(frame))
    }

    fn a_damaged_frame_is_read_or_refused(place: usize, value: u8) -> bool {
        let mut bytes = frame().encode();
        let place = place % bytes.len();
        bytes[place] = value;
        Frame::decode(&bytes).map_or(true, |frame| frame.items.len() <= bytes.len())
    }

    fn a_quantised_value_is_within_a_tenth(value: u32) -> bool {
        let restored = f64::from(load::dequantise(load::quantise(value)));
        (restored - f64::from(value)).abs() <= f64::from(value) * 0.1 + 0.5
    }
}
