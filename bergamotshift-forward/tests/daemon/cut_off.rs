//! Entries that are cut off from all endpoints, while callers, the store and the other entries reach them.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::early;
use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::endpoint::Request;
use crate::gate::Gate;
use crate::gate::State;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::wait_until;
use crate::unframed;
use crate::unframed::events;

const EVENT_STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// Interval at which entries tell each other their states.
const ROUND: Duration = Duration::from_millis(250);

/// Time after which a fleet counts as stable, for operators.
const STABLE: Duration = Duration::from_secs(3);

/// Site of two entries, of which the first reaches its endpoints through gates.
pub struct Cut {
    site: Site,
    gates: Vec<Gate>,
    pub endpoints: Vec<Endpoint>,
    entries: Vec<Daemon>,
}

impl Cut {
    pub fn new(endpoints: Vec<Endpoint>) -> Self {
        let all: Vec<_> = endpoints.iter().collect();
        let site = Site::new(&all);
        let gates: Vec<_> = endpoints.iter().map(|endpoint| Gate::to(endpoint.address)).collect();
        for (endpoint, gate) in endpoints.iter().zip(&gates) {
            let path = ("entry-1".into(), endpoint.registration("staff").id);
            lock(&site.backend).paths.insert(path, gate.address);
        }
        let first = site.start();
        let second = site.launch("entry-2", &[first.listen.peers]);
        let cut = Self {
            site,
            gates,
            endpoints,
            entries: vec![first, second],
        };
        wait_until("the entries know each other", || {
            cut.entries
                .iter()
                .all(|entry| entry.peer_count() == Some(1) && entry.is_ready())
        });
        cut
    }

    pub fn set(&self, state: State) {
        self.gates.iter().for_each(|gate| gate.set(state));
    }

    pub fn first(&self) -> &Daemon {
        &self.entries[0]
    }

    fn runs(&self) -> usize {
        self.endpoints.iter().map(Endpoint::count).sum()
    }

    /// Sends requests with distinct identifiers to the first entry, and returns the statuses of the answers.
    fn ask(&self, path: &str, first: usize, count: usize) -> Vec<u16> {
        let ask = |number| {
            let mut caller = Caller::new(self.first());
            caller.ask("POST", path, &format!("r-{number}"), "x").status
        };
        (first..first + count).map(ask).collect()
    }
}

fn plain_endpoints() -> Vec<Endpoint> {
    (0..6)
        .map(|number| Endpoint::plain(&format!("e{number}"), "done"))
        .collect()
}

/// Guards against callers who are refused by an entry that is cut off from all endpoints, although other entries reach
/// them: the paths refuse connections.
#[test]
fn callers_of_an_entry_whose_paths_refuse_connections_are_served() {
    for state in [State::Refusing, State::RefusingNew] {
        let cut = Cut::new(plain_endpoints());
        assert_eq!(cut.ask("/checkin/1", 0, 6), [200; 6]);
        cut.set(state);
        // The first requests may be on a connection that ends.
        cut.ask("/checkin/1", 100, 6);
        assert_eq!(cut.ask("/checkin/1", 200, 20), [200; 20], "{state:?}");
        // What must not run twice is served too.
        let before = cut.runs();
        assert_eq!(cut.ask("/confirm/1", 300, 20), [200; 20], "{state:?}");
        assert_eq!(cut.runs(), before + 20);
    }
}

/// Guards against callers who are not served by an entry whose connections to all endpoints are accepted on the way and reset
/// before any answer.
#[test]
fn callers_of_an_entry_whose_connections_are_reset_are_served() {
    assert_served(State::Resetting);
}

/// Guards against connections that are reset late and count as ones that stay open.
#[test]
fn callers_of_an_entry_whose_connections_are_reset_late_are_served() {
    for late in [40, 150] {
        assert_served(State::ResettingLate(Duration::from_millis(late)));
    }
}

/// Asserts that callers are served while the paths of their entry reset connections.
fn assert_served(state: State) {
    let cut = Cut::new(plain_endpoints());
    assert_eq!(cut.ask("/checkin/1", 0, 6), [200; 6]);
    cut.set(state);
    // The first requests show that no endpoint answers.
    cut.ask("/checkin/1", 100, 6);
    let began = Instant::now();
    let mut number = 200;
    while began.elapsed() < STABLE {
        assert_eq!(cut.ask("/confirm/1", number, 1), [200], "{state:?}");
        number += 1;
    }
    cut.set(State::Open);
    wait_until("it uses its own paths again", || {
        cut.first().value("bergamotshift_forward_cut_off") == Some(0)
    });
}

/// Guards against callers who are refused by an entry whose connections to all endpoints get no answer.
#[test]
fn callers_of_an_entry_whose_paths_are_silent_are_served() {
    let cut = Cut::new(plain_endpoints());
    cut.set(State::Silent);
    let began = Instant::now();
    cut.ask("/checkin/1", 0, 2);
    assert!(began.elapsed() < STABLE, "it took {:?}", began.elapsed());
    assert_eq!(cut.ask("/checkin/1", 100, 20), [200; 20]);
}

/// Guards against streams through another entry that arrive late, incomplete or without their end.
#[test]
fn streams_pass_through_another_entry_event_by_event() {
    let endpoint = |number| {
        Endpoint::start(&format!("e{number}"), |request, _, stream| {
            stream.write_all(request.answer_head("200 OK", EVENT_STREAM).as_bytes())?;
            for event in 1..=3 {
                let text = format!("id: {event}\ndata: {event}\n\n");
                write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
            }
            stream.write_all(b"0\r\n\r\n")?;
            Ok(Connection::Keep)
        })
    };
    let cut = Cut::new((0..4).map(endpoint).collect());
    cut.set(State::Refusing);
    cut.ask("/checkin/1", 0, 4);
    let answer = Caller::new(cut.first()).ask("POST", "/chat/1", "r-100", "x");
    assert!(answer.is_complete);
    assert_eq!(answer.text().matches("id: ").count(), 3);
}

/// Guards against an endpoint that goes on with a stream whose caller left, because another entry passes it on.
#[test]
fn a_caller_that_leaves_ends_its_stream_behind_another_entry() {
    let endpoint = |number| {
        Endpoint::start(&format!("e{number}"), |request, _, stream| {
            stream.write_all(request.answer_head("200 OK", EVENT_STREAM).as_bytes())?;
            stream.write_all(b"b\r\nid: 1\ndata\n\r\n")?;
            Ok(Connection::Keep)
        })
    };
    let cut = Cut::new((0..3).map(endpoint).collect());
    cut.set(State::Refusing);
    let mut caller = Caller::new(cut.first());
    caller.send("POST", "/chat/1", "r-1", "", "x");
    wait_until("the stream runs", || cut.runs() == 1);
    drop(caller);
    wait_until("the endpoint's connection is closed", || {
        cut.endpoints
            .iter()
            .map(|endpoint| *lock(&endpoint.closed))
            .sum::<usize>()
            == 1
    });
}

/// Guards against endpoints that count as dead, and requests that are suspected of it, because one entry does not reach
/// them.
#[test]
fn endpoints_that_others_reach_are_not_dead() {
    let cut = Cut::new(plain_endpoints());
    // The connections of these requests are kept, and end with the cut.
    let mut callers: Vec<_> = (0..4).map(|_| Caller::new(cut.first())).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.ask("POST", "/checkin/1", &format!("a-{number}"), "x");
    }
    cut.set(State::Refusing);
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.send("POST", "/checkin/1", &format!("b-{number}"), "", "x");
        let _ = caller.read_answer();
    }
    assert_eq!(cut.ask("/checkin/1", 0, 10), [200; 10]);
    assert_eq!(cut.first().death_count(), Some(0));
}

/// Guards against a death that is recorded late, since the entry first finds out about many endpoints whose connections broke
/// too and that give no answer.
#[test]
fn endpoints_that_give_no_answer_do_not_delay_the_record_of_a_death() {
    const ENDPOINTS: usize = 16;
    let endpoint = |number| {
        Endpoint::start(&format!("e{number}"), |request, _, stream| {
            stream.write_all(request.answer_head("200 OK", EVENT_STREAM).as_bytes())?;
            stream.write_all(b"b\r\nid: 1\ndata\n\r\n")?;
            Ok(Connection::Keep)
        })
    };
    let cut = Cut::new((0..ENDPOINTS).map(endpoint).collect());
    let mut callers: Vec<_> = (0..ENDPOINTS).map(|_| Caller::new(cut.first())).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.send("POST", "/chat/1", &format!("r-{number}"), "", &format!("{number}"));
    }
    wait_until("each endpoint has a stream", || {
        cut.endpoints.iter().all(|endpoint| endpoint.count() == 1)
    });
    let (dead, others) = cut.gates.split_last().expect("there are some");
    for gate in others {
        gate.set(State::Silent);
    }
    for gate in others {
        gate.end_connections();
    }
    cut.endpoints[ENDPOINTS - 1].crash();
    dead.set(State::Refusing);
    let began = Instant::now();
    wait_until("the death is recorded", || cut.first().death_count() == Some(1));
    assert!(began.elapsed() < STABLE, "it took {:?}", began.elapsed());
}

/// Guards against deaths that are not recorded because something on the path to the endpoint accepts connections and ends them
/// at once.
#[test]
fn a_death_behind_a_path_that_accepts_connections_is_recorded() {
    let crashing = |number| {
        Endpoint::start(&format!("e{number}"), |request, _, stream| {
            if request.body == b"x" {
                return Ok(Connection::Crash);
            }
            stream.write_all(request.answer("200 OK", "", "done").as_bytes())?;
            Ok(Connection::Keep)
        })
    };
    let cut = Cut::new((0..6).map(crashing).collect());
    cut.ask("/confirm/1", 0, 1);
    wait_until("the death is recorded", || cut.first().death_count() == Some(1));
}

/// Guards against an entry that goes on through another one after its paths are back.
#[test]
fn an_entry_that_reaches_endpoints_again_passes_nothing_through_others() {
    let cut = Cut::new(plain_endpoints());
    cut.set(State::Refusing);
    assert_eq!(cut.ask("/checkin/1", 0, 4), [200; 4]);
    assert_eq!(cut.first().value("bergamotshift_forward_cut_off"), Some(1));
    cut.set(State::Open);
    let back = Instant::now();
    wait_until("the entry reaches endpoints", || {
        cut.first().value("bergamotshift_forward_cut_off") == Some(0)
    });
    assert!(back.elapsed() < Duration::from_secs(1), "it took {:?}", back.elapsed());
    let relayed = cut.entries[1].value("bergamotshift_forward_relays_total");
    assert_eq!(cut.ask("/checkin/1", 100, 10), [200; 10]);
    assert_eq!(cut.entries[1].value("bergamotshift_forward_relays_total"), relayed);
}

/// Guards against requests that wait or go round in circles when no entry reaches an endpoint.
#[test]
fn a_request_that_no_entry_can_serve_is_refused_at_once() {
    let cut = Cut::new(plain_endpoints());
    cut.set(State::Refusing);
    for (endpoint, gate) in cut.endpoints.iter().zip(&cut.gates) {
        // The second entry learns the refusing addresses as it starts again.
        let path = ("entry-3".into(), endpoint.registration("staff").id);
        lock(&cut.site.backend).paths.insert(path, gate.address);
    }
    let Cut { site, mut entries, .. } = cut;
    let second = entries.pop().expect("there are two");
    second.stop();
    assert_eq!(second.join(), 0);
    let first = &entries[0];
    let third = site.launch("entry-3", &[first.listen.peers]);
    wait_until("the entries know each other", || {
        third.peer_count() >= Some(1) && first.peer_count() >= Some(1)
    });
    for number in 0..6 {
        let began = Instant::now();
        let answer = Caller::new(first).ask("POST", "/checkin/1", &format!("r-{number}"), "x");
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "it took {:?}",
            began.elapsed()
        );
    }
}

/// Guards against entries that all leave the balancer because the endpoints of one service are down, although they serve the
/// other services.
#[test]
fn entries_stay_ready_when_nobody_reaches_a_service() {
    let cut = Cut::new(plain_endpoints());
    for entry in &cut.entries {
        assert_eq!(Caller::new(entry).ask("POST", "/checkin/1", "r-1", "x").status, 200);
    }
    cut.set(State::Refusing);
    cut.endpoints.iter().for_each(Endpoint::crash);
    let is_cut_off = |entry: &Daemon| entry.value("bergamotshift_forward_cut_off") == Some(1);
    for number in 0.. {
        if cut.entries.iter().all(is_cut_off) {
            break;
        }
        assert!(number < 1_000, "no entry knows that it reaches no endpoint");
        for entry in &cut.entries {
            Caller::new(entry).ask("POST", "/checkin/1", &format!("a-{number}"), "x");
        }
    }
    thread::sleep(2 * ROUND);
    assert!(cut.entries.iter().all(Daemon::is_ready));
}

/// Guards against callers who pass for an entry and get a connection to an endpoint.
#[test]
fn a_caller_cannot_ask_for_a_tunnel() {
    let cut = Cut::new(plain_endpoints());
    let hash = bergamotshift_forward::endpoint::Endpoint::new(cut.endpoints[0].registration("staff")).hash;
    for path in [format!("/{hash:016x}"), cut.endpoints[0].address.to_string()] {
        let mut caller = Caller::new(cut.first());
        caller.send("CONNECT", &path, "r-1", "", "");
        assert!(caller.read_answer().is_none_or(|answer| answer.status >= 400), "{path}");
    }
    assert_eq!(cut.runs(), 0);
}

/// Guards against part of a stream that looks complete, because its endpoint crashed behind another entry, which reaches the
/// process that took the address.
#[test]
fn what_a_crash_leaves_of_a_stream_behind_another_entry_is_not_given_out_as_whole() {
    let script = |request: &Request, _, stream: &mut TcpStream| {
        if !request.path().starts_with("/draft") {
            stream.write_all(request.answer("200 OK", "", "done").as_bytes())?;
            return Ok(Connection::Keep);
        }
        if request.header("last-event-id").is_none() {
            unframed::send_parts(
                request,
                stream,
                unframed::EVENT_STREAM,
                &[&events(1..=1), &events(2..=2)],
            )?;
            return Ok(Connection::Restart);
        }
        stream.write_all(unframed::unframed(request, unframed::EVENT_STREAM, &events(3..=5)).as_bytes())?;
        Ok(Connection::Close)
    };
    let endpoints = (0..6).map(|number| Endpoint::start(&format!("e{number}"), script));
    let cut = Cut::new(endpoints.collect());
    cut.set(State::Refusing);
    cut.ask("/checkin/1", 100, 6);
    assert_eq!(cut.ask("/checkin/1", 200, 6), [200; 6]);
    let answer = Caller::new(cut.first()).ask("POST", "/draft/1", "r-1", "x");
    assert!(answer.is_complete);
    assert_eq!(answer.text(), events(1..=5));
}

/// Guards against part of an answer that looks complete, because another entry passed on that its connection ended in order, and
/// not that it was reset then.
#[test]
fn what_arrives_before_an_end_and_a_reset_behind_another_entry_is_not_given_out_as_whole() {
    let endpoint = |number| {
        early::answering_early(&format!("e{number}"), early::End::Reset, |request| {
            if request.path().starts_with("/checkin") {
                request.answer("200 OK", "", "done")
            } else if request.path().starts_with("/chat") {
                unframed::unframed(request, unframed::EVENT_STREAM, &events(1..=2))
            } else {
                unframed::unframed(request, "", "part")
            }
        })
    };
    let cut = Cut::new((0..4).map(endpoint).collect());
    cut.set(State::Refusing);
    assert_eq!(cut.ask("/checkin/1", 0, 6), [200; 6]);
    for (number, size) in early::SIZES[..2].iter().enumerate() {
        for path in ["/confirm/1", "/chat/1"] {
            let answer = Caller::new(cut.first()).ask("POST", path, &format!("r-{number}"), &"y".repeat(*size));
            assert!(
                answer.status == 502 || !answer.is_complete,
                "{path}, {size} bytes: {} {}",
                answer.status,
                answer.text()
            );
        }
    }
    assert!(cut.entries[1].value("bergamotshift_forward_relays_total") > Some(0));
}

/// Guards against part of an answer that looks complete, because another entry passed on that its connection ended in order, and
/// not that the request was still being written.
#[test]
fn what_ends_while_the_request_is_under_way_behind_another_entry_is_not_given_out_as_whole() {
    let endpoint = |number| {
        early::answering_early(&format!("e{number}"), early::End::Orderly, |request| {
            if request.path().starts_with("/checkin") {
                request.answer("200 OK", "connection: close\r\n", "done")
            } else {
                unframed::unframed(request, "", "part")
            }
        })
    };
    let cut = Cut::new((0..4).map(endpoint).collect());
    cut.set(State::Refusing);
    assert_eq!(cut.ask("/checkin/1", 0, 6), [200; 6]);
    let answer = Caller::new(cut.first()).ask("POST", "/confirm/1", "r-1", &"y".repeat(early::SIZES[1]));
    assert_eq!((answer.status, answer.is_complete), (502, true), "{}", answer.text());
    assert!(cut.entries[1].value("bergamotshift_forward_relays_total") > Some(0));
}

/// Guards against a complete early answer that is lost, because another entry passed on that the connection was reset while the
/// request was written, and not the answer.
#[test]
fn an_early_answer_with_a_length_behind_another_entry_is_valid() {
    for end in [early::End::Reset, early::End::Close] {
        let endpoint = |number| {
            early::answering_early(&format!("e{number}"), end, |request| {
                request.answer("200 OK", "connection: close\r\n", "whole")
            })
        };
        let cut = Cut::new((0..4).map(endpoint).collect());
        cut.set(State::Refusing);
        assert_eq!(cut.ask("/checkin/1", 0, 6), [200; 6]);
        for (number, size) in early::SIZES[..2].iter().enumerate() {
            let answer = Caller::new(cut.first()).ask("POST", "/confirm/1", &format!("r-{number}"), &"y".repeat(*size));
            assert_eq!(
                (answer.status, answer.text().as_str()),
                (200, "whole"),
                "{size} bytes, {end:?}"
            );
        }
    }
}
