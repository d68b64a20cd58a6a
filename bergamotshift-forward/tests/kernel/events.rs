//! Complete events from bytes that arrive in pieces of any size.

use bergamotshift_forward::exchange::Events;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const STREAM: &[u8] = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\r\ndata: three\r\n\r\n";

#[test]
fn any_split_into_pieces_gives_the_same_bytes() {
    fn passes(cuts: Vec<u8>) -> bool {
        let mut events = Events::default();
        let mut passed = Vec::new();
        let mut rest = STREAM;
        for cut in cuts {
            let (piece, more) = rest.split_at(usize::from(cut % 7).min(rest.len()));
            rest = more;
            passed.extend(events.push(piece).into_iter().flatten());
        }
        passed.extend(events.push(rest).into_iter().flatten());
        passed == STREAM && events.last_id() == Some(3) && events.is_at_boundary()
    }
    let random = Gen::from_size_and_seed(60, 7);
    QuickCheck::new()
        .rng(random)
        .tests(1_000)
        .quickcheck(passes as fn(Vec<u8>) -> bool);
}

#[test]
fn partial_event_is_held_back() {
    let mut events = Events::default();
    let whole = events.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("one is whole");
    assert_eq!(&*whole, b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some(1));
    assert!(!events.is_at_boundary());
}

/// An endpoint fails in the middle of an event, and the next endpoint sends that event again. The first part has to be
/// dropped, so that the caller does not see it joined with the event.
#[test]
fn partial_event_is_not_joined_with_the_event_of_the_next_endpoint() {
    let mut events = Events::after(Some(4));
    assert!(events.push(b"id: 5\ndata: ha").is_none());
    events.drop_partial();
    let whole = events.push(b"id: 5\ndata: half\n\n").expect("it is whole");
    assert_eq!(&*whole, b"id: 5\ndata: half\n\n");
}
