//! Limits of organisations.

use bergamotshift_forward::document::Limit;
use bergamotshift_forward::document::Unit;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Answer;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::wait_until;

/// Burst of the limit, in units. The rate is so low that an organisation can use little else in a test.
const BURST: u32 = 1_000;

/// Units that each request counts.
const UNITS_PER_REQUEST: u32 = 200;

fn site(endpoint: &Endpoint) -> Site {
    let site = Site::new(&[endpoint]);
    let mut document = crate::site::document(2);
    document.organisations[0].limit = Some(Limit {
        rate: 10.0,
        burst: f64::from(BURST),
        unit: Unit::Tokens { plain: 100 },
    });
    lock(&site.backend).put_document(document);
    site
}

/// Sends requests until one is refused, and returns the number of served requests and the refusal.
fn send_until_refused(daemon: &Daemon) -> (u32, Answer) {
    let mut caller = Caller::new(daemon);
    let mut served = 0;
    loop {
        let extra = "bergamotshift-size: 190,10\r\n";
        caller.send("POST", "/confirm/1", &format!("r-{served}"), extra, "x");
        let answer = caller.read_answer().expect("an answer comes");
        if answer.status != 200 {
            return (served, answer);
        }
        served += 1;
        assert!(served < 50, "nothing is refused");
    }
}

/// Guards against requests over the limit that reach an endpoint or get no `retry-after`. The store has no record of
/// earlier use, so six tenths of the burst are available after the start, and one more request that overdraws them.
#[test]
fn requests_over_the_limit_are_refused_with_a_time_to_retry() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = site(&endpoint);
    let daemon = site.start();
    let (served, refused) = send_until_refused(&daemon);
    assert_eq!(refused.status, 429);
    assert!(refused.header("retry-after").is_some());
    let max_served = BURST * 6 / 10 / UNITS_PER_REQUEST + 1;
    assert!((1..=max_served).contains(&served), "{served} of {max_served}");
    assert_eq!(endpoint.count(), usize::try_from(served).expect("it is small"));
}

/// Guards against an organisation that gets a new burst with each restart of an entry. The entry stores that the
/// organisation is at its limit, so after a restart the burst counts as used up and the first request is refused.
#[test]
fn a_restart_gives_no_new_burst_to_an_organisation_at_its_limit() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = site(&endpoint);
    let daemon = site.start();
    let (before, _) = send_until_refused(&daemon);
    let is_written = || {
        let backend = lock(&site.backend);
        let mut rows = backend.rows.iter().filter(|(key, _)| key.partition == "entry");
        rows.any(|(_, row)| row.body.windows(6).any(|bytes| bytes == b"horeca"))
    };
    wait_until("the entry has written who is busy", is_written);
    daemon.stop();
    daemon.join();
    let daemon = site.start();
    let (after, refused) = send_until_refused(&daemon);
    assert_eq!((after, refused.status), (0, 429));
    assert_eq!(endpoint.count(), usize::try_from(before).expect("it is small"));
}

/// Guards against an organisation that gets a part of its burst again with each entry that joins. After one entry
/// admitted the whole burst, another one that joins admits no request.
#[test]
fn an_entry_that_joins_brings_no_burst_of_its_own() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = site(&endpoint);
    let first = site.start();
    let is_written = || {
        let backend = lock(&site.backend);
        backend.rows.keys().any(|key| key.partition == "entry")
    };
    wait_until("the first one stands in the list", is_written);
    send_until_refused(&first);
    let second = site.launch("entry-2", &[first.listen.peers]);
    wait_until("the second one is ready", || second.is_ready());
    let (served, refused) = send_until_refused(&second);
    assert_eq!((served, refused.status), (0, 429));
}
