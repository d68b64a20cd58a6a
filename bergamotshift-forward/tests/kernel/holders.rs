//! Which other entry is asked for a newer document.

use core::time::Duration;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::peers::Members;
use bergamotshift_forward::peers::Source;
use bergamotshift_forward::peers::State;

use crate::members::members;
use crate::members::state;
use crate::support::at;

fn holds(entry: &str, zone: &str, document: u64) -> State {
    State {
        document,
        zone: zone.into(),
        ..state(entry, true)
    }
}

fn chosen(members: &Members, now: Instant, version: u64) -> Option<name::Entry> {
    match members.document_source(now, version) {
        Source::Holder(holder) => Some(holder.entry),
        Source::Nobody | Source::Busy => None,
    }
}

#[test]
fn who_has_nothing_newer_is_not_asked() {
    let mut members = members("entry-0");
    members.record_state(at(0), holds("entry-1", "one", 7));
    assert_eq!(members.document_source(at(100), 7), Source::Nobody);
    assert_eq!(chosen(&members, at(100), 6), Some("entry-1".into()));
}

/// Bytes between zones are paid for, and links within one are the widest.
#[test]
fn an_entry_of_the_own_zone_comes_first() {
    let mut members = members("entry-0");
    for number in 1..9 {
        members.record_state(at(0), holds(&format!("entry-{number}"), "two", 7));
    }
    members.record_state(at(0), holds("entry-9", "one", 7));
    assert_eq!(chosen(&members, at(100), 6), Some("entry-9".into()));
}

/// A document two versions newer would have to be followed by another call for the next one.
#[test]
fn the_newest_document_comes_before_the_own_zone() {
    let mut members = members("entry-0");
    members.record_state(at(0), holds("entry-1", "one", 7));
    members.record_state(at(0), holds("entry-2", "two", 8));
    assert_eq!(chosen(&members, at(100), 6), Some("entry-2".into()));
}

/// One entry gives its document to so many others and turns the rest away. They ask another one, and it again a moment
/// later; with all of them busy there is nobody to ask, which is not the same as that nobody has it.
#[test]
fn who_did_not_give_it_is_spared_for_a_while() {
    let mut members = members("entry-0");
    members.record_state(at(0), holds("entry-1", "one", 7));
    members.record_state(at(0), holds("entry-2", "one", 7));
    let first = chosen(&members, at(100), 6).expect("there are two");
    members.defer_download(at(100), &first, Duration::from_millis(80));
    let second = chosen(&members, at(100), 6).expect("there is one more");
    assert_ne!(first, second);
    members.defer_download(at(110), &second, Duration::from_millis(80));
    assert_eq!(members.document_source(at(120), 6), Source::Busy);
    assert_eq!(chosen(&members, at(180), 6), Some(first));
}

/// A holder that was cut off or killed is silent, and each question to it costs half a second.
#[test]
fn who_was_not_heard_for_long_is_not_asked() {
    let mut members = members("entry-0");
    members.record_state(at(0), holds("entry-1", "one", 7));
    assert_eq!(members.document_source(at(10_000), 6), Source::Nobody);
}

/// Thirty entries hear at once that eight others have a newer document. If all asked the same one, its link would carry
/// thirty copies and the others' none.
#[test]
fn not_all_ask_the_same_one() {
    let ask = |asker: usize| {
        let mut members = members(&format!("asker-{asker}"));
        for number in 1..9 {
            members.record_state(at(0), holds(&format!("entry-{number}"), "one", 7));
        }
        chosen(&members, at(100), 6).expect("there are eight")
    };
    let asked: BTreeSet<_> = (0..30).map(ask).collect();
    assert!(asked.len() >= 6, "{asked:?}");
}
