//! Which endpoints there are.

use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::endpoint::Change;
use bergamotshift_forward::endpoint::Directory;
use bergamotshift_forward::endpoint::Event;
use bergamotshift_forward::endpoint::Registration;
use bergamotshift_platform::Error;

use crate::support::at;
use crate::support::registration;

fn taking(directory: &Directory) -> usize {
    directory.endpoints().filter(|endpoint| !endpoint.is_leaving()).count()
}

fn listed() -> Vec<Registration> {
    vec![registration("a", "one"), registration("b", "two")]
}

fn directory(now: Instant) -> Directory {
    let mut directory = Directory::default();
    directory.apply(now, Event::Listed(listed()));
    directory
}

#[test]
fn a_removed_registration_ends_its_endpoint_at_once() {
    let mut directory = directory(at(0));
    let left = directory.apply(at(100), Event::Changed(vec![Change::Removed("a".into())]));
    assert_eq!(left.len(), 1);
    assert_eq!(taking(&directory), 1);
}

#[test]
fn a_leaving_endpoint_never_takes_work_again() {
    let mut directory = directory(at(0));
    let leaving = Registration {
        leaving: true,
        ..registration("a", "one")
    };
    directory.apply(at(100), Event::Changed(vec![Change::Written(leaving)]));
    directory.apply(at(200), Event::Changed(vec![Change::Written(registration("a", "one"))]));
    assert_eq!(taking(&directory), 1);
}

/// The store is away, and registrations lapse because nobody can renew them. When it is back they are missing for a
/// moment. Callers see no refusal: the endpoints are used on until they had time to register again.
#[test]
fn what_lapsed_while_the_store_was_away_is_used_until_it_had_time_to_return() {
    let mut directory = directory(at(0));
    directory.apply(at(5_000), Event::StoreFailed);
    directory.apply(at(5_300), Event::Listed(Vec::new()));
    assert_eq!(taking(&directory), 2);
    directory.apply(
        at(6_000),
        Event::Changed(vec![Change::Written(registration("a", "one"))]),
    );
    directory.apply(at(7_700), Event::Changed(Vec::new()));
    assert_eq!(taking(&directory), 1, "the one that did not return is gone");
}

/// Two seconds after the store is back an endpoint registers again, and this entry has not looked since. Time alone must
/// not end the endpoint: what it last read is from before. Only a look from after that time proves that it is gone.
#[test]
fn what_was_read_before_the_time_to_return_proves_nothing_after_it() {
    let mut directory = directory(at(0));
    directory.apply(at(5_000), Event::StoreFailed);
    directory.apply(at(5_300), Event::Listed(Vec::new()));
    directory.settle(at(7_900), at(7_000));
    assert_eq!(taking(&directory), 2);
    directory.settle(at(8_400), at(7_900));
    assert_eq!(taking(&directory), 0);
}

/// An endpoint is cut off from the store, its registration lapses, and it registers again once the cut has healed. It
/// said nothing of leaving, so it takes work again.
#[test]
fn an_endpoint_that_registers_again_takes_work_again() {
    let mut directory = directory(at(0));
    directory.apply(at(1_000), Event::Changed(vec![Change::Removed("a".into())]));
    assert_eq!(taking(&directory), 1);
    directory.apply(
        at(9_000),
        Event::Changed(vec![Change::Written(registration("a", "one"))]),
    );
    assert_eq!(taking(&directory), 2);
}

/// One entry cannot reach the store and keeps endpoints whose registrations are missing. Another entry that took its
/// list for the newest state would send work to endpoints that left, for good. So it says that its list is not settled.
#[test]
fn a_directory_with_lapsed_endpoints_is_not_settled() {
    let mut directory = directory(at(0));
    assert!(directory.is_settled());
    directory.apply(at(5_000), Event::StoreFailed);
    directory.apply(at(5_300), Event::Changed(vec![Change::Removed("a".into())]));
    assert!(!directory.is_settled());
    directory.apply(at(8_000), Event::Changed(Vec::new()));
    assert!(directory.is_settled());
}

#[test]
fn a_relayed_list_is_taken_as_a_whole() {
    let mut directory = directory(at(0));
    directory.apply(
        at(100),
        Event::Relayed(vec![registration("b", "two"), registration("c", "two")]),
    );
    let ids: Vec<_> = directory.registrations().into_iter().map(|one| one.id).collect();
    assert_eq!(ids, ["b", "c"]);
}

#[test]
fn equal_digests_mean_equal_endpoints_and_marks() {
    let one = directory(at(0));
    let mut other = directory(at(900));
    assert_eq!(one.digest(), other.digest());
    let leaving = Registration {
        leaving: true,
        ..registration("a", "one")
    };
    other.apply(at(1_000), Event::Changed(vec![Change::Written(leaving)]));
    assert_ne!(one.digest(), other.digest());
}

fn born(at: u64) -> Registration {
    Registration {
        born: at,
        version: "v1".into(),
        ..registration("a", "one")
    }
}

/// An endpoint crashes and starts again under its name, while an entry still hears of the incarnation before. The new one
/// takes work, what was known of the old one is not held against it, and late words of the old one change nothing.
#[test]
fn an_incarnation_takes_the_place_of_the_one_before() {
    let mut directory = Directory::default();
    directory.apply(at(0), Event::Listed(vec![born(100)]));
    let before = Arc::clone(directory.endpoints().next().expect("it is there"));
    let leaving = Registration {
        leaving: true,
        ..born(100)
    };
    directory.apply(at(100), Event::Changed(vec![Change::Written(leaving.clone())]));
    assert_eq!(taking(&directory), 0);

    directory.apply(at(200), Event::Changed(vec![Change::Written(born(200))]));
    assert_eq!(taking(&directory), 1);
    let after = Arc::clone(directory.endpoints().next().expect("it is there"));
    assert_ne!(
        before.hash, after.hash,
        "what one had read is not taken to be held by the other"
    );
    assert!(before.is_leaving(), "requests under way there know that it is over");

    directory.apply(at(300), Event::Changed(vec![Change::Written(leaving)]));
    directory.apply(at(400), Event::Relayed(vec![born(100)]));
    assert_eq!(taking(&directory), 1);
}

/// The incarnation before has left and is remembered for a minute. The next one under its name is none that was only
/// missing: it takes work, and its own leaving counts.
#[test]
fn an_incarnation_after_one_that_left_takes_work_until_it_leaves_itself() {
    let mut directory = Directory::default();
    directory.apply(at(0), Event::Listed(vec![born(100)]));
    directory.apply(at(100), Event::Changed(vec![Change::Removed("a".into())]));
    directory.apply(at(200), Event::Changed(vec![Change::Written(born(200))]));
    assert_eq!(taking(&directory), 1);
    let left = directory.apply(at(300), Event::Changed(vec![Change::Removed("a".into())]));
    assert_eq!((left.len(), taking(&directory)), (1, 0));
}

/// Somebody else writes over an endpoint's registration. It names no endpoint to use any more.
#[test]
fn what_cannot_be_read_names_no_endpoint() {
    let mut directory = directory(at(0));
    let unread = Change::Unreadable {
        id: "a".into(),
        cause: Error::Unknown("no registration".to_owned()),
    };
    directory.apply(at(100), Event::Changed(vec![unread]));
    assert_eq!(taking(&directory), 1);
}

fn say_leaving(directory: &Directory, id: &str) {
    let mut endpoints = directory.endpoints();
    let endpoint = endpoints.find(|endpoint| endpoint.registration.id == id);
    assert!(endpoint.expect("it is registered").signals.mark_leaving());
}

/// Guards against a registration that is missing, returns as ready and undoes what the endpoint's answer said.
#[test]
fn what_an_answer_said_outlives_a_registration_that_returns() {
    let mut directory = directory(at(0));
    say_leaving(&directory, "a");
    assert_eq!(taking(&directory), 1);
    directory.apply(at(100), Event::Changed(vec![Change::Removed("a".into())]));
    directory.apply(at(200), Event::Changed(vec![Change::Written(registration("a", "one"))]));
    assert_eq!(taking(&directory), 1);
    directory.apply(at(300), Event::Relayed(listed()));
    assert_eq!(taking(&directory), 1);
}

/// Guards against a new incarnation that gets no work because the one before it left.
#[test]
fn what_one_incarnation_said_does_not_hold_for_the_next() {
    let mut directory = directory(at(0));
    say_leaving(&directory, "a");
    let reborn = Registration {
        born: 7,
        ..registration("a", "one")
    };
    directory.apply(at(100), Event::Changed(vec![Change::Written(reborn)]));
    assert_eq!(taking(&directory), 2);
}

/// Guards against entries that take each other's registrations for other ones, and pass all of them on each round, because
/// one of them heard an answer.
#[test]
fn what_an_answer_said_is_not_told_as_a_registration() {
    let directory = directory(at(0));
    let digest = directory.digest();
    say_leaving(&directory, "a");
    assert_eq!(directory.digest(), digest);
    assert!(
        directory
            .registrations()
            .iter()
            .all(|registration| !registration.leaving)
    );
}
