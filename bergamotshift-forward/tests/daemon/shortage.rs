//! Model engines with more work than they can do, by a daemon alone and by a large fleet.

use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Sender;

use bergamotshift_forward::document::Limit;
use bergamotshift_forward::document::Unit;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::large::ENGINE;
use crate::large::ENTRIES;
use crate::large::entry_name;
use crate::large::keeper_index;
use crate::outside::lock;
use crate::site::Answer;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::KEY;
use crate::site::Site;
use crate::site::wait_until;

const SETTINGS: &str = "[admission]\nshortage = \"always\"";

/// Tokens that the engine reads for longer than other callers can wait.
const LARGE_PROMPT: u64 = 200_000;

/// Number of refused requests at a daemon alone.
const REFUSED: usize = 60;

/// Longest time that a caller of [`Caller::send`] may be told, in seconds: a third of its four seconds.
const LONGEST_RETURN: f64 = 4.0 / 3.0;

/// Starts an engine that does not answer requests to `/confirm/hold` until it is told to.
fn engine() -> (Endpoint, Sender<()>) {
    let (release, released) = mpsc::channel();
    let released = Mutex::new(released);
    let endpoint = Endpoint::start("e1", move |request, _, stream| {
        if request.path() == "/confirm/hold" {
            // The test has ended if the other side is gone.
            let _ = lock(&released).recv();
        }
        stream.write_all(request.answer("200 OK", "", "done").as_bytes())?;
        Ok(Connection::Keep)
    });
    (endpoint, release)
}

fn site(endpoint: &Endpoint, limit: Option<Limit>) -> Site {
    let site = Site::new(&[endpoint]);
    let mut document = crate::site::document(2);
    document.services[0].engine = Some(ENGINE);
    document.organisations[0].limit = limit;
    for route in &mut document.routes {
        route.timeout *= 12;
    }
    lock(&site.backend).put_document(document);
    site
}

/// Sends the request with the large prompt, and waits until the engine has it.
fn hold(daemon: &Daemon, endpoint: &Endpoint) -> Caller {
    let mut caller = Caller::new(daemon);
    let before = endpoint.count();
    let text = format!(
        "POST /confirm/hold HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer {KEY}\r\n\
         bergamotshift-request: hold\r\nbergamotshift-deadline-ms: 60000\r\ncontent-length: 0\r\n\
         bergamotshift-size: {LARGE_PROMPT},10\r\n\r\n"
    );
    caller.0.write_all(text.as_bytes()).expect("the connection stands");
    wait_until("the engine reads the large prompt", || endpoint.count() > before);
    caller
}

/// Sends a generation with a prompt of `tokens` tokens; all have the same content.
fn ask(daemon: &Daemon, id: &str, tokens: u64) -> Answer {
    let mut caller = Caller::new(daemon);
    let size = format!("bergamotshift-size: {tokens},10\r\n");
    caller.send("POST", "/confirm/1", id, &size, "x");
    caller.read_answer().expect("an answer comes")
}

/// Returns whether a request was refused; one that was is told a time within which callers return.
fn is_refused(answer: &Answer) -> bool {
    if answer.status == 200 {
        return false;
    }
    assert_eq!(answer.status, 503, "{}", answer.text());
    let after = answer.header("retry-after").and_then(|text| text.parse().ok());
    assert!(after.is_some_and(|after: f64| after <= LONGEST_RETURN), "{after:?}");
    true
}

/// Returns the number of requests that a daemon refused as the wait was too long.
fn refusal_count(daemon: &Daemon) -> usize {
    let name = "bergamotshift_forward_shortage_decisions_total{outcome=\"wait\"}";
    daemon.value(name).unwrap_or_default()
}

/// Guards against a large prompt that is refused although nothing waits, and against refused requests that reach the
/// engine or use up the limit of their organisation.
#[test]
fn a_refused_request_does_not_run_and_uses_no_units() {
    let (endpoint, release) = engine();
    // The refused requests have several times as many units as the burst, which counts as used up after a start.
    let limit = Limit {
        rate: 1e6,
        burst: 3e6,
        unit: Unit::Tokens { plain: 1 },
    };
    let site = site(&endpoint, Some(limit));
    let daemon = site.launch_with("entry-1", &[], SETTINGS);
    wait_until("the daemon is ready", || daemon.is_ready());
    wait_until("the daemon serves", || ask(&daemon, "first", 100).status == 200);
    let before = endpoint.count();
    let mut held = hold(&daemon, &endpoint);
    wait_until("the limit has room", || ask(&daemon, "r", LARGE_PROMPT).status == 503);
    let refused = refusal_count(&daemon);
    for number in 0..REFUSED {
        assert!(
            is_refused(&ask(&daemon, &format!("r-{number}"), LARGE_PROMPT)),
            "request {number}"
        );
    }
    assert_eq!(
        (endpoint.count(), refusal_count(&daemon)),
        (before + 1, refused + REFUSED)
    );
    release.send(()).expect("the engine waits");
    assert_eq!(held.read_answer().map(|answer| answer.status), Some(200));
    assert!(!is_refused(&ask(&daemon, "last", 100)));
}

/// Guards against callers that are not answered, or told too long a time, when the keeper that promised them capacity
/// dies, and when its deputy dies with it, so that entries ask keepers that cannot be reached.
#[test]
fn callers_are_decided_on_when_the_keeper_dies_with_promises_out() {
    let (endpoint, release) = engine();
    let site = site(&endpoint, None);
    let mut daemons: Vec<Daemon> = Vec::new();
    for number in 0..ENTRIES {
        let seeds: Vec<_> = daemons.first().map(|first| first.listen.peers).into_iter().collect();
        daemons.push(site.launch_with(entry_name(number).as_str(), &seeds, SETTINGS));
    }
    wait_until("the keeper knows the fleet", || daemons[keeper_index()].is_keeper());
    for daemon in &daemons {
        wait_until("an entry knows the fleet", || daemon.peer_count() == Some(ENTRIES - 1));
        wait_until("an entry serves", || ask(daemon, "first", 100).status == 200);
    }
    let keeper = daemons.remove(keeper_index());
    let mut held = hold(&daemons[0], &endpoint);
    wait_until("the keeper refuses", || is_refused(&ask(&daemons[1], "r", 100)));
    assert!(refusal_count(&keeper) > 0, "the keeper decides");
    keeper.stop();
    for daemon in &daemons {
        is_refused(&ask(daemon, "r-stopping", 100));
    }
    keeper.join();
    wait_until("the deputy decides", || is_refused(&ask(&daemons[1], "r", 100)));
    let successor = daemons.iter().position(Daemon::is_keeper);
    if let Some(successor) = successor.filter(|index| *index > 0) {
        daemons.remove(successor).stop();
    }
    for daemon in &daemons {
        is_refused(&ask(daemon, "r-again", 100));
    }
    release.send(()).expect("the engine waits");
    assert_eq!(held.read_answer().map(|answer| answer.status), Some(200));
    wait_until("callers are served again", || !is_refused(&ask(&daemons[1], "r", 100)));
}
