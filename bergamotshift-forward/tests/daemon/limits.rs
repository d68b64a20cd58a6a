//! Organisations' limits at a daemon.

use bergamotshift_forward::document::Limit;
use bergamotshift_forward::document::Unit;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Answer;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::until;

/// What an organisation may use in these tests: next to nothing but its burst.
const BURST: u32 = 1_000;

/// What each of its requests counts.
const UNITS: u32 = 200;

fn site(endpoint: &Endpoint) -> Site {
    let site = Site::new(&[endpoint]);
    let mut document = crate::site::document(2);
    document.organisations[0].limit = Some(Limit {
        rate: 10.0,
        burst: f64::from(BURST),
        unit: Unit::Tokens { plain: 100 },
    });
    lock(&site.world).put(document);
    site
}

/// Asks until a request is refused; returns how many were served before, and the refusal.
fn ask_until_refused(daemon: &Daemon) -> (u32, Answer) {
    let mut caller = Caller::new(daemon);
    let mut served = 0;
    loop {
        let extra = "bergamotshift-size: 190,10\r\n";
        caller.send("POST", "/confirm/1", &format!("r-{served}"), extra, "x");
        let answer = caller.answer().expect("an answer comes");
        if answer.status != 200 {
            return (served, answer);
        }
        served += 1;
        assert!(served < 50, "nothing is refused");
    }
}

/// An organisation sends more tokens than it may. Callers over the limit get 429 with the time to come back, and no
/// endpoint sees their requests; those below it are served. Nobody wrote that it was busy before the start, so six tenths of
/// its burst are there, and one request more that overdraws them.
#[test]
fn who_is_over_its_limit_is_told_when_to_come_back() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = site(&endpoint);
    let daemon = site.start();
    let (served, refused) = ask_until_refused(&daemon);
    assert_eq!(refused.status, 429);
    assert!(refused.header("retry-after").is_some());
    let most = BURST * 6 / 10 / UNITS + 1;
    assert!((1..=most).contains(&served), "{served} of {most}");
    assert_eq!(endpoint.count(), usize::try_from(served).expect("it is small"));
}

/// An organisation is at its limit, the entry writes that down, ends and starts again. If it came up with a fresh burst, the
/// organisation would have it with each restart. It starts with its burst used up, so the first request is refused already.
#[test]
fn who_was_at_its_limit_gets_no_new_burst_by_a_restart() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = site(&endpoint);
    let daemon = site.start();
    let (before, _) = ask_until_refused(&daemon);
    let is_written = || {
        let world = lock(&site.world);
        let mut rows = world.rows.iter().filter(|(key, _)| key.partition == "entry");
        rows.any(|(_, row)| row.body.windows(6).any(|bytes| bytes == b"horeca"))
    };
    until("the entry has written who is busy", is_written);
    daemon.stop();
    daemon.join();
    let daemon = site.start();
    let (after, refused) = ask_until_refused(&daemon);
    assert_eq!((after, refused.status), (0, 429));
    assert_eq!(endpoint.count(), usize::try_from(before).expect("it is small"));
}

/// One entry lets an organisation use its burst, and another one joins it. If the newcomer came up with a part of the burst
/// too, the organisation would have that part twice, and more with each that joins. It gets what the first one leaves.
#[test]
fn an_entry_that_joins_brings_no_burst_of_its_own() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = site(&endpoint);
    let first = site.start();
    let is_written = || {
        let world = lock(&site.world);
        world.rows.keys().any(|key| key.partition == "entry")
    };
    until("the first one stands in the list", is_written);
    ask_until_refused(&first);
    let second = site.launch("entry-2", &[first.listen.peers]);
    until("the second one is ready", || second.is_ready());
    let (served, refused) = ask_until_refused(&second);
    assert_eq!((served, refused.status), (0, 429));
}
