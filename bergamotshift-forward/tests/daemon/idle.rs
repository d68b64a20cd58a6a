//! Endpoints that close idle connections sooner than their answers last, and whose answers end with their connections.

use std::io::Write;
use std::thread;
use std::time::Duration;

use crate::cut_off::Cut;
use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::gate::State;
use crate::site::Caller;
use crate::site::Site;
use crate::site::wait_until;
use crate::unframed::EVENT_STREAM;
use crate::unframed::events;
use crate::unframed::unframed;

/// Time between the two parts of an answer.
const LENGTH: Duration = Duration::from_millis(900);

const PATHS: [&str; 4] = ["/chat/1", "/draft/1", "/confirm/1", "/checkin/1"];

/// Returns an endpoint whose answers last [`LENGTH`] and then end in this way.
fn slow(id: &str, idle: Duration, end: Connection) -> Endpoint {
    let endpoint = Endpoint::start(id, move |request, _, stream| {
        let is_stream = request.path().starts_with("/chat") || request.path().starts_with("/draft");
        let (kind, parts) = if is_stream {
            (EVENT_STREAM, [events(1..=2), events(3..=4)])
        } else {
            ("", ["one ".to_owned(), "two".to_owned()])
        };
        stream.write_all(unframed(request, kind, &parts[0]).as_bytes())?;
        thread::sleep(LENGTH);
        stream.write_all(parts[1].as_bytes())?;
        Ok(end)
    });
    endpoint.closing_idle(idle)
}

/// Guards against whole answers that are thrown away, as the endpoint closed the witness of its process when it was idle.
#[test]
fn answers_of_an_endpoint_that_closes_idle_connections_are_whole() {
    let check = |idle: Duration, path: &str| {
        let endpoint = slow("e1", idle, Connection::Close);
        let site = Site::new(&[&endpoint]);
        let daemon = site.start();
        let mut caller = Caller::new(&daemon);
        for number in 0..3 {
            let answer = caller.ask("POST", path, &format!("r-{number}"), "x");
            assert_eq!((answer.status, answer.is_complete), (200, true), "{idle:?} {path}");
            let whole = [events(1..=4), "one two".to_owned()];
            assert!(whole.contains(&answer.text()), "{idle:?} {path}: {}", answer.text());
            assert_eq!(endpoint.count(), number + 1, "{idle:?} {path}");
        }
    };
    thread::scope(|scope| {
        for idle in [100, 300, 500, 800] {
            for path in PATHS {
                scope.spawn(move || check(Duration::from_millis(idle), path));
            }
        }
    });
}

/// Guards against part of an answer that looks complete, as the end of a witness is excused by idle connections.
#[test]
fn what_a_crash_leaves_is_not_given_out_as_whole_if_the_endpoint_closed_idle_connections() {
    let check = |idle: Duration, end: Connection, path: &str| {
        let endpoint = slow("e1", idle, end);
        let site = Site::new(&[&endpoint]);
        let daemon = site.start();
        let answer = Caller::new(&daemon).ask("POST", path, "r-1", "x");
        let is_whole = answer.status == 200 && answer.is_complete;
        assert!(!is_whole, "{idle:?} {end:?} {path}: {}", answer.text());
    };
    thread::scope(|scope| {
        for idle in [100, 300, 500, 800] {
            for end in [Connection::Crash, Connection::Restart] {
                for path in ["/chat/1", "/confirm/1"] {
                    scope.spawn(move || check(Duration::from_millis(idle), end, path));
                }
            }
        }
    });
}

/// Guards against part of an answer that looks complete, as another process has the address and the identifier of its endpoint.
#[test]
fn an_identifier_that_outlives_a_process_does_not_name_it() {
    for path in ["/chat/1", "/confirm/1"] {
        let idle = Duration::from_millis(300);
        let endpoint = slow("e1", idle, Connection::Restart).with_lasting_identifier();
        let site = Site::new(&[&endpoint]);
        let daemon = site.start();
        let answer = Caller::new(&daemon).ask("POST", path, "r-1", "x");
        assert!(answer.status != 200 || !answer.is_complete, "{path}: {}", answer.text());
    }
}

/// Guards against an entry that counts as cut off for good, as endpoints close the connections by which it looks for its paths.
#[test]
fn an_entry_finds_its_paths_again_to_endpoints_that_close_idle_connections() {
    let idle = Duration::from_millis(300);
    let endpoint = |number| Endpoint::plain(&format!("e{number}"), "done").closing_idle(idle);
    let cut = Cut::new((0..6).map(endpoint).collect());
    cut.set(State::ResettingLate(idle));
    wait_until("it is cut off", || {
        Caller::new(cut.first()).ask("GET", "/checkin/1", "r", "");
        cut.first().value("bergamotshift_forward_cut_off") == Some(1)
    });
    cut.set(State::Open);
    wait_until("it uses its own paths again", || {
        cut.first().value("bergamotshift_forward_cut_off") == Some(0)
    });
}
