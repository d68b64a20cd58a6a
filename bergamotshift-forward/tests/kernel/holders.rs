//! Choice of the entry from which a newer document is downloaded.

use core::time::Duration;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::peers::Members;
use bergamotshift_forward::peers::Source;
use bergamotshift_forward::peers::State;

use crate::members::members;
use crate::members::state;
use crate::support::at;

fn state_with_document(entry: &str, zone: &str, document: u64) -> State {
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
fn entries_without_a_newer_document_are_not_chosen() {
    let mut members = members("entry-0");
    members.record_state(at(0), state_with_document("entry-1", "one", 7));
    assert_eq!(members.document_source(at(100), 7), Source::Nobody);
    assert_eq!(chosen(&members, at(100), 6), Some("entry-1".into()));
}

/// Traffic between zones costs money, and links within a zone are the widest.
#[test]
fn an_entry_of_the_own_zone_is_preferred() {
    let mut members = members("entry-0");
    for number in 1..9 {
        members.record_state(at(0), state_with_document(&format!("entry-{number}"), "two", 7));
    }
    members.record_state(at(0), state_with_document("entry-9", "one", 7));
    assert_eq!(chosen(&members, at(100), 6), Some("entry-9".into()));
}

/// Guards against a download of a version that is not the newest, which needs another download after it.
#[test]
fn the_newest_document_is_preferred_over_the_own_zone() {
    let mut members = members("entry-0");
    members.record_state(at(0), state_with_document("entry-1", "one", 7));
    members.record_state(at(0), state_with_document("entry-2", "two", 8));
    assert_eq!(chosen(&members, at(100), 6), Some("entry-2".into()));
}

/// An entry at its limit of uploads turns others away. They ask another one, and come back a moment later. When all are
/// busy, the result differs from that when no entry has a newer document.
#[test]
fn a_refused_download_is_deferred() {
    let mut members = members("entry-0");
    members.record_state(at(0), state_with_document("entry-1", "one", 7));
    members.record_state(at(0), state_with_document("entry-2", "one", 7));
    let first = chosen(&members, at(100), 6).expect("there are two");
    members.defer_download(at(100), &first, Duration::from_millis(80));
    let second = chosen(&members, at(100), 6).expect("there is one more");
    assert_ne!(first, second);
    members.defer_download(at(110), &second, Duration::from_millis(80));
    assert_eq!(members.document_source(at(120), 6), Source::Busy);
    assert_eq!(chosen(&members, at(180), 6), Some(first));
}

/// Guards against requests to an entry that is partitioned or gone, each of which takes half a second to fail.
#[test]
fn silent_entries_are_not_chosen() {
    let mut members = members("entry-0");
    members.record_state(at(0), state_with_document("entry-1", "one", 7));
    assert_eq!(members.document_source(at(10_000), 6), Source::Nobody);
}

/// Guards against thirty entries that learn of a newer document at once and all download it from the same one of eight.
#[test]
fn entries_choose_different_sources() {
    let choose = |requester: usize| {
        let mut members = members(&format!("asker-{requester}"));
        for number in 1..9 {
            members.record_state(at(0), state_with_document(&format!("entry-{number}"), "one", 7));
        }
        chosen(&members, at(100), 6).expect("there are eight")
    };
    let sources: BTreeSet<_> = (0..30).map(choose).collect();
    assert!(sources.len() >= 6, "{sources:?}");
}
