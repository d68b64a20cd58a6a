//! Sound endpoints that fall silent for a second and go on.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Route;
use bergamotshift_forward::document::Service;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::large::ENGINE;
use crate::outside::lock;
use crate::script::EVENTS;
use crate::script::Step;
use crate::script::answers;
use crate::script::check;
use crate::script::check_order;
use crate::script::count;
use crate::script::last_event;
use crate::script::runs;
use crate::script::send;
use crate::script::site;
use crate::script::start;
use crate::script::step;
use crate::script::stream;
use crate::site::Site;
use crate::site::wait_until;

/// Time for which an endpoint is silent.
const SILENCE: Duration = Duration::from_secs(1);

/// Number of streams.
const STREAMS: usize = 12;

/// Maximum number of extra attempts that a daemon's retry budget of a service lends at the start.
const RESERVE: usize = 5;

/// Starts endpoints, the first `silent` of which fall silent before the third event of their streams.
fn endpoints(count: usize, silent: usize) -> Vec<Endpoint> {
    start(count, move |number, request, connection| {
        stream(request, connection, |event| {
            if number < silent && event == 3 {
                thread::sleep(SILENCE);
            }
            step(event)
        })
    })
}

/// Sends streams at once while `silent` of six endpoints fall silent, and returns the number of requests at endpoints.
fn streams(path: &str, silent: usize) -> usize {
    let endpoints = endpoints(6, silent);
    let site = Site::new(&endpoints.iter().collect::<Vec<_>>());
    let daemon = site.start();
    check(send(&daemon, path, STREAMS));
    assert_eq!(daemon.death_count(), Some(0));
    count(&endpoints)
}

/// Guards against streams that are ended, or requests that are sent again, because their endpoint is silent for a second.
#[test]
fn a_second_of_silence_of_one_endpoint_ends_no_stream() {
    assert_eq!(streams("/chat/1", 1), STREAMS);
    assert!(streams("/draft/1", 1) <= STREAMS * 3 / 2);
}

/// Guards against a storm of repeats when a third of the endpoints are silent for a second at once.
#[test]
fn a_second_of_silence_of_a_third_of_the_endpoints_ends_no_stream() {
    assert_eq!(streams("/chat/1", 2), STREAMS);
    assert!(streams("/draft/1", 2) <= STREAMS * 3 / 2);
}

/// Guards against streams that an entry ends when their endpoints are silent and the retry budget is empty.
#[test]
fn a_silence_beyond_the_limit_with_an_empty_retry_budget_ends_no_stream() {
    let endpoints = endpoints(3, 3);
    let site = site(&endpoints, SILENCE / 10, None);
    let daemon = site.start();
    let streams = 6 * RESERVE;
    check(send(&daemon, "/draft/1", streams));
    assert!(count(&endpoints) < streams + RESERVE);
    assert_eq!(daemon.death_count(), Some(0));
}

/// Guards against a stream that is cut when its endpoint crashes after the time within which a stream has to begin.
#[test]
fn a_stream_older_than_its_start_timeout_goes_on_after_a_crash() {
    let endpoints = start(2, |_, request, connection| {
        let is_first = last_event(request) == 0;
        stream(request, connection, |event| {
            if is_first && event > 1 {
                thread::sleep(SILENCE / 2);
            }
            if is_first && event == EVENTS {
                Step::Reset
            } else {
                step(event)
            }
        })
    });
    let site = site(&endpoints, SILENCE / 5, Some(ENGINE));
    let daemon = site.start();
    check(send(&daemon, "/draft/1", 1));
    assert_eq!((endpoints[0].count(), endpoints[1].count()), (1, 1));
}

/// Sends idempotent requests at once to endpoints that answer after their response timeout.
fn late_answers(endpoints: usize, requests: usize) {
    let endpoints = start(endpoints, |_, request, connection| {
        thread::sleep(SILENCE);
        connection.write_all(request.answer("200 OK", "", "done").as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = site(&endpoints, SILENCE / 10, None);
    let daemon = site.start();
    let answers = answers(send(&daemon, "/checkin/1", requests));
    let refused = answers.iter().filter(|answer| answer.status != 200).count();
    assert_eq!(refused, 0, "requests of {requests} were refused");
    assert!(count(&endpoints) < requests + RESERVE);
}

/// Guards against an idempotent request that is refused when its endpoint answers late and there is no other.
#[test]
fn a_late_answer_of_the_only_endpoint_reaches_its_caller() {
    late_answers(1, 1);
}

/// Guards against idempotent requests that are refused when their endpoints answer late and the retry budget is empty.
#[test]
fn late_answers_with_an_empty_retry_budget_reach_their_callers() {
    late_answers(2, 6 * RESERVE);
}

/// Guards against streams without a pause that end, or start anew, when a change of the document concerns their route.
#[test]
fn a_change_of_the_document_ends_no_running_stream() {
    const CALLERS: usize = 4;
    let changes: [fn(&mut Route); 3] = [
        |route| route.pause = SILENCE / 100,
        |route| route.timeout = SILENCE / 10,
        |route| route.splits[0].service = "other".into(),
    ];
    let mut document = crate::site::document(2);
    let name = "other".into();
    document.services.push(Service {
        name,
        ..document.services[0].clone()
    });
    let mut documents = Vec::new();
    for change in changes {
        document.routes.iter_mut().for_each(change);
        documents.push(document.clone());
    }
    document.routes.clear();
    documents.push(document.clone());
    document.services.clear();
    documents.push(document);
    for path in ["/chat/1", "/draft/1"] {
        let events = Arc::new(AtomicUsize::new(0));
        let is_over = Arc::new(AtomicBool::new(false));
        let (counter, end) = (Arc::clone(&events), Arc::clone(&is_over));
        let endpoints = start(1, move |_, request, connection| {
            stream(request, connection, |_| {
                thread::sleep(SILENCE / 100);
                counter.fetch_add(1, Ordering::Relaxed);
                if end.load(Ordering::Relaxed) {
                    Step::End
                } else {
                    Step::Send
                }
            })
        });
        let site = site(&endpoints, SILENCE, None);
        let daemon = site.start();
        let callers = send(&daemon, path, CALLERS);
        let run_on = || {
            let more = events.load(Ordering::Relaxed) + CALLERS * EVENTS as usize;
            wait_until("the streams run", || events.load(Ordering::Relaxed) > more);
        };
        run_on();
        for (version, document) in (3..).zip(documents.clone()) {
            lock(&site.backend).put_document(Document { version, ..document });
            wait_until("the change is in force", || {
                daemon.value("bergamotshift_forward_document_version") == Some(version as usize)
            });
            run_on();
        }
        is_over.store(true, Ordering::Relaxed);
        assert!(check_order(callers).into_iter().all(|count| count >= EVENTS as usize));
        assert_eq!(count(&endpoints), CALLERS);
    }
}

/// Guards against a stream that stays with a silent endpoint whose listener is closed while its connections are open.
#[test]
fn a_stream_leaves_a_silent_endpoint_that_accepts_no_connections() {
    let hang = |is_first, event| {
        if is_first && event == 3 {
            Step::Hang
        } else {
            step(event)
        }
    };
    assert_eq!(runs(SILENCE / 10, true, hang), 2);
}

/// Guards against repeated events, and a second run that goes on, when a stream's next endpoint is as silent as its first.
#[test]
fn two_silent_runs_of_a_stream_deliver_each_event_once() {
    let play = |delay, is_gone| {
        let silent = move |is_first, event| {
            match event {
                3 => thread::sleep(if is_first { SILENCE } else { delay }),
                4.. => thread::sleep(SILENCE / 50),
                _ => {}
            }
            step(event)
        };
        runs(SILENCE / 10, is_gone, silent);
    };
    thread::scope(|scope| {
        for delay in [SILENCE, SILENCE / 2] {
            scope.spawn(move || play(delay, false));
            scope.spawn(move || play(delay, true));
        }
    });
}

/// Guards against a stream that is cut, although its replacement runs, when the silent endpoint crashes.
#[test]
fn a_replacement_goes_on_when_the_silent_run_breaks() {
    let is_replaced = Arc::new(AtomicBool::new(false));
    let steps = move |is_first, event| match (is_first, event) {
        (true, 3) => {
            wait_until("the replacement runs", || is_replaced.load(Ordering::Relaxed));
            Step::Reset
        }
        (false, 3) => {
            is_replaced.store(true, Ordering::Relaxed);
            thread::sleep(SILENCE / 5);
            step(event)
        }
        _ => step(event),
    };
    assert_eq!(runs(SILENCE / 10, false, steps), 2);
}
