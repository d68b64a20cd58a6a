//! Rollouts of new versions of a service.

use core::time::Duration;
use std::io::Write;

use bergamotshift_forward::endpoint::Registration;
use bergamotshift_rollout::order::State;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::wait_until;

/// Exposure of callers to a bad version that these tests allow.
const ROLLOUT_SETTINGS: &str = "[rollout]\nexpose_share = 0.2\nexpose_slack = 10.0";

fn registration(endpoint: &Endpoint, version: &str) -> Registration {
    Registration {
        version: version.into(),
        ..endpoint.registration("staff")
    }
}

/// Starts a daemon with an endpoint of the current version, and orders a rollout to a new version.
fn start_rollout(old: &Endpoint, new: &Endpoint, duration: Duration) -> (Site, Daemon) {
    let site = Site::new(&[old]);
    let daemon = site.launch_with("entry-1", &[], ROLLOUT_SETTINGS);
    wait_until("it holds the duties", || {
        daemon.is_ready() && !lock(&site.backend).reports.is_empty()
    });
    let mut backend = lock(&site.backend);
    backend.roll_out("staff", "v2", duration);
    backend.register(registration(new, "v2"));
    drop(backend);
    (site, daemon)
}

fn state(site: &Site) -> State {
    lock(&site.backend).rollouts[0].1
}

/// Sends requests until the final state of the order is reported, and returns the number of served requests.
fn send_until_final(site: &Site, daemon: &Daemon) -> usize {
    let mut served = 0;
    let mut caller = Caller::new(daemon);
    let mut number = 0;
    wait_until("the order ends", || {
        number += 1;
        let answer = caller.ask("GET", "/checkin/1", &format!("r-{number}"), "");
        served += usize::from(answer.status == 200);
        if answer.header("connection").is_some_and(|value| value == "close") {
            caller = Caller::new(daemon);
        }
        state(site).is_final()
    });
    served
}

/// Guards against a bad version that is not rolled back, and against requests to it after the rollback.
#[test]
fn a_version_that_fails_is_rolled_back() {
    let old = Endpoint::plain("e1", "old");
    let new = Endpoint::start("e2", |request, _, stream| {
        stream.write_all(request.answer("500 Internal Server Error", "", "no").as_bytes())?;
        Ok(Connection::Keep)
    });
    let (site, daemon) = start_rollout(&old, &new, Duration::from_mins(1));
    send_until_final(&site, &daemon);
    assert_eq!(state(&site), State::RolledBack);
    let bad = new.count();
    assert!((3..50).contains(&bad), "{bad} failed requests to tell");
    let mut caller = Caller::new(&daemon);
    for number in 0..200 {
        assert_eq!(caller.ask("GET", "/checkin/1", &format!("s-{number}"), "").status, 200);
    }
    assert_eq!(new.count(), bad, "it gets nothing after that");
    daemon.stop();
    daemon.join();
}

/// Guards against the rollout of a good version that is not completed, or after which callers fail.
#[test]
fn a_version_that_serves_as_well_is_completed() {
    let old = Endpoint::plain("e1", "old");
    let new = Endpoint::plain("e2", "new");
    let (site, daemon) = start_rollout(&old, &new, Duration::from_secs(6));
    send_until_final(&site, &daemon);
    assert_eq!(state(&site), State::Completed);
    lock(&site.backend).remove("e1");
    let before = old.count();
    let mut caller = Caller::new(&daemon);
    for number in 0..50 {
        let answer = caller.ask("GET", "/checkin/1", &format!("s-{number}"), "");
        assert_eq!((answer.status, answer.text().as_str()), (200, "new"));
    }
    assert_eq!(old.count(), before, "it gets nothing after that");
    daemon.stop();
    daemon.join();
}

/// Guards against an entry that starts after a rollback and sends requests to the rejected version.
#[test]
fn an_entry_that_starts_later_knows_the_verdict() {
    let old = Endpoint::plain("e1", "old");
    let new = Endpoint::plain("e2", "new");
    let site = Site::new(&[&old]);
    let mut backend = lock(&site.backend);
    backend.roll_out("staff", "v2", Duration::from_secs(6));
    backend.rollouts[0].1 = State::RolledBack;
    backend.register(registration(&new, "v2"));
    drop(backend);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    for number in 0..50 {
        let answer = caller.ask("GET", "/checkin/1", &format!("r-{number}"), "");
        assert_eq!((answer.status, answer.text().as_str()), (200, "old"));
    }
    assert_eq!(new.count(), 0);
    daemon.stop();
    daemon.join();
}
