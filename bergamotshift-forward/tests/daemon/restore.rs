//! A store that is restored from a copy, so that its versions go back.

use bergamotshift_core::table::Key;
use bergamotshift_forward::follow::MAX_AGE;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::document;
use crate::site::wait_until;

/// Number of requests among which an endpoint that is in use receives at least one.
const REQUESTS: usize = 20;

/// Number of registrations that are written after the copy, and lost.
const LOST_WRITES: usize = 50;

/// Number of reads of the document in which an entry reads the registrations a few times.
const READS: usize = 50;

/// Sends requests, and returns whether the endpoint received one of them.
fn is_used(daemon: &Daemon, endpoint: &Endpoint) -> bool {
    let before = endpoint.count();
    for number in 0..REQUESTS {
        Caller::new(daemon).ask("GET", "/checkin/1", &format!("r-{number}"), "");
    }
    endpoint.count() > before
}

/// Guards against registrations that are dropped as older after a restore, so that a leaving endpoint stays in use.
#[test]
fn an_endpoint_that_leaves_after_a_restore_gets_no_further_requests() {
    let (one, two) = (
        Endpoint::plain("e1", "done"),
        Endpoint::plain("e2", "done").in_other_zone(),
    );
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let copy = lock(&site.backend).copy();
    for _ in 0..LOST_WRITES {
        lock(&site.backend).register(two.registration("staff"));
    }
    wait_until("both endpoints are known", || daemon.endpoint_count() == Some(2));
    let mut leaving = one.registration("staff");
    leaving.leaving = true;
    lock(&site.backend).restore(copy);
    lock(&site.backend).register(two.registration("staff"));
    lock(&site.backend).register(leaving);
    wait_until("the leaving endpoint is not used", || !is_used(&daemon, &one));
}

/// Guards against callers that are refused because a restored store lacks the registrations of endpoints that are alive.
#[test]
fn an_endpoint_that_a_restored_store_lacks_stays_in_use() {
    let one = Endpoint::plain("e1", "done");
    let site = Site::new(&[]);
    let copy = lock(&site.backend).copy();
    lock(&site.backend).register(one.registration("staff"));
    let daemon = site.start();
    lock(&site.backend).restore(copy);
    wait_until("the restore is known", || daemon.restore_count() == Some(1));
    let status = |id: &str| Caller::new(&daemon).ask("GET", "/checkin/1", id, "").status;
    assert_eq!(status("r-1"), 200);
    lock(&site.backend).register(one.registration("staff"));
    assert_eq!(status("r-2"), 200);
}

/// Guards against requests to an endpoint that was removed before a restore, and is registered in the copy.
#[test]
fn a_restored_registration_brings_no_removed_endpoint_back() {
    let (one, two) = (
        Endpoint::plain("e1", "done"),
        Endpoint::plain("e2", "done").in_other_zone(),
    );
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    let copy = lock(&site.backend).copy();
    lock(&site.backend).remove("e1");
    wait_until("one endpoint is left", || daemon.endpoint_count() == Some(1));
    lock(&site.backend).restore(copy);
    wait_until("the restore is known", || daemon.restore_count() == Some(1));
    lock(&site.backend).register(two.registration("staff"));
    assert!(!is_used(&daemon, &one));
    assert_eq!(daemon.endpoint_count(), Some(1));
    lock(&site.backend).register(one.registration("staff"));
    wait_until("the endpoint is back", || daemon.endpoint_count() == Some(2));
}

/// Guards against a revoked key that is valid again because the copy contains an older document.
#[test]
fn a_restored_document_does_not_replace_a_newer_one() {
    let one = Endpoint::plain("e1", "done");
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let copy = lock(&site.backend).copy();
    let mut revoked = document(2);
    revoked.organisations[0].keys.clear();
    lock(&site.backend).put_document(revoked);
    let status = || Caller::new(&daemon).ask("GET", "/checkin/1", "r-1", "").status;
    wait_until("the key is revoked", || status() == 401);
    let reads = {
        let mut backend = lock(&site.backend);
        backend.restore(copy);
        backend.reads.1
    };
    wait_until("the restored document is read", || {
        lock(&site.backend).reads.1 >= reads + 2
    });
    assert_eq!(status(), 401);
    lock(&site.backend).put_document(document(3));
    wait_until("the newer document is in force", || status() == 200);
}

/// Guards against a holder of the duties that stops, or goes on under a number of before, when its lease's row is lost.
#[test]
fn the_duties_go_on_under_a_new_number_when_the_lease_is_lost() {
    let one = Endpoint::plain("e1", "done");
    let site = Site::new(&[&one]);
    let copy = lock(&site.backend).copy();
    let _daemon = site.start();
    let reports = || lock(&site.backend).reports.clone();
    wait_until("usage is reported", || !reports().is_empty());
    let before = reports().len();
    lock(&site.backend).restore(copy);
    wait_until("usage is reported again", || reports().len() >= before + 2);
    let numbers: Vec<u64> = reports().iter().map(|(token, _)| token.number).collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
    assert!(numbers.last() > numbers.first(), "{numbers:?}");
}

/// Guards against a window that is reported with other counts by a later holder, as a restored store lost the first ones.
#[test]
fn the_counts_of_a_reported_window_are_stored_again() {
    let one = Endpoint::plain("e1", "done");
    let site = Site::new(&[&one]);
    let copy = lock(&site.backend).copy();
    let _daemon = site.start();
    wait_until("usage is reported", || !lock(&site.backend).reports.is_empty());
    let (window, counts) = {
        let mut backend = lock(&site.backend);
        let (_, usage) = backend.reports.last().expect("there is one").clone();
        backend.restore(copy);
        (usage.window, usage.counts)
    };
    let key = Key::new("usage", format!("{window:012}"));
    let stored = || lock(&site.backend).rows.get(&key).map(|row| row.body.clone());
    wait_until("the counts are stored again", || stored().is_some());
    assert_eq!(stored(), postcard::to_stdvec(&counts).ok());
}

/// Guards against registrations that grow old unnoticed while the store answers each call with an older state.
#[test]
fn the_age_of_registrations_shows_a_store_that_stays_behind() {
    let one = Endpoint::plain("e1", "done");
    let site = Site::new(&[&one]);
    let copy = lock(&site.backend).copy();
    for _ in 0..LOST_WRITES {
        lock(&site.backend).register(one.registration("staff"));
    }
    let daemon = site.start();
    let mut backend = lock(&site.backend);
    backend.restore(copy);
    backend.era = 0;
    drop(backend);
    let is_outdated = || {
        daemon
            .registrations_age()
            .is_some_and(|age| age > MAX_AGE.as_secs_f64())
    };
    wait_until("the age shows it", is_outdated);
    for _ in 0..LOST_WRITES {
        lock(&site.backend).register(one.registration("staff"));
    }
    wait_until("the store is ahead again", || !is_outdated());
}

/// Guards against calls without a pause while the store's answers are older than what the entry knows.
#[test]
fn a_store_that_stays_behind_is_not_called_without_pause() {
    let one = Endpoint::plain("e1", "done");
    let site = Site::new(&[]);
    let copy = lock(&site.backend).copy();
    for _ in 0..LOST_WRITES {
        lock(&site.backend).register(one.registration("staff"));
    }
    let _daemon = site.start();
    let before = {
        let mut backend = lock(&site.backend);
        backend.restore(copy);
        backend.era = 0;
        backend.reads
    };
    wait_until("the document is read", || {
        lock(&site.backend).reads.1 >= before.1 + READS
    });
    let reads = lock(&site.backend).reads.0 - before.0;
    assert!(reads <= READS / 5, "{reads} reads of the registrations");
}
