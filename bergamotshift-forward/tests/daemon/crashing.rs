//! Requests that crash each endpoint that runs them.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::wait_until;

/// Number of endpoints of a site.
const ENDPOINTS: usize = 8;

/// Number of times that a caller sends a crashing request again.
const REPEATS: usize = 12;

/// Starts endpoints that crash with a request whose body is `crash`, after the head of its answer if there is one.
fn endpoints(head: Option<&'static str>) -> Vec<Endpoint> {
    let start = |number| {
        Endpoint::start(&format!("e{number}"), move |request, _, stream| {
            if request.body != b"crash" {
                stream.write_all(request.answer("200 OK", "", "done").as_bytes())?;
                return Ok(Connection::Keep);
            }
            if let Some(head) = head {
                stream.write_all(request.answer_head("200 OK", head).as_bytes())?;
            }
            Ok(Connection::Crash)
        })
    };
    (0..ENDPOINTS).map(start).collect()
}

/// Sends a crashing request again and again, and returns the number of endpoints that it reached.
fn crash_repeatedly(path: &str, head: Option<&'static str>) -> usize {
    let endpoints = endpoints(head);
    let all: Vec<_> = endpoints.iter().collect();
    let site = Site::new(&all);
    let daemon = site.start();
    let reached = || endpoints.iter().map(Endpoint::count).sum::<usize>();
    for repeat in 0..REPEATS {
        let mut caller = Caller::new(&daemon);
        caller.send("POST", path, &format!("r-{repeat}"), "", "crash");
        let _ = caller.read_answer();
        wait_until("the deaths are recorded", || daemon.death_count() == Some(reached()));
    }
    reached()
}

/// Guards against a request that crashes one engine after the other because only connections that broke before the head
/// of an answer were reported; engines send it when they begin.
#[test]
fn a_request_that_crashes_endpoints_during_a_stream_is_refused() {
    const HEAD: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let reached = crash_repeatedly("/draft/1", Some(HEAD));
    assert!(reached <= 3, "it reached {reached} endpoints");
}

/// Guards against a request that crashes one plain endpoint after the other within the body of its answer.
#[test]
fn a_request_that_crashes_endpoints_during_a_body_is_refused() {
    let reached = crash_repeatedly("/checkin/1", Some("content-length: 100\r\n"));
    assert!(reached <= 3, "it reached {reached} endpoints");
}

/// Guards against a request that crashes one endpoint after the other before it gets an answer.
#[test]
fn a_request_that_crashes_endpoints_before_an_answer_is_refused() {
    let reached = crash_repeatedly("/checkin/1", None);
    assert!(reached <= 3, "it reached {reached} endpoints");
}

/// Replaces the only endpoint of the service.
fn replace(site: &Site, before: &Endpoint, after: &Endpoint) {
    let mut backend = lock(&site.backend);
    backend.remove(&before.registration("staff").id);
    backend.register(after.registration("staff"));
}

/// Guards against a request that crashes the only endpoint of a service each time that it is back, because an entry that
/// reaches no endpoint of the service takes itself for cut off and recorded no death.
#[test]
fn a_request_that_crashes_the_only_endpoint_of_a_service_is_refused() {
    let endpoints = endpoints(None);
    let site = Site::new(&[&endpoints[0]]);
    let daemon = site.start();
    let reached = || endpoints.iter().map(Endpoint::count).sum::<usize>();
    for (number, endpoint) in endpoints.iter().enumerate() {
        if number > 0 {
            replace(&site, &endpoints[number - 1], endpoint);
        }
        let mut attempt = 0;
        wait_until("it is refused, or reaches the endpoint", || {
            let mut caller = Caller::new(&daemon);
            caller.send("POST", "/checkin/1", &format!("r-{number}-{attempt}"), "", "crash");
            attempt += 1;
            let answer = caller.read_answer();
            endpoint.count() > 0 || answer.is_some_and(|answer| answer.text().contains("suspected"))
        });
        wait_until("the deaths are recorded", || daemon.death_count() == Some(reached()));
    }
    assert!(reached() <= 3, "it reached {} endpoints", reached());
}

/// Guards against harmless requests that are refused as their connections to a service's only endpoint broke several times,
/// which may be a cut.
#[test]
fn a_request_that_completed_before_is_not_refused_for_broken_connections() {
    let mut endpoints = endpoints(None);
    let first = Endpoint::start("first", |request, _, stream| {
        stream.write_all(request.answer("200 OK", "connection: close\r\n", "done").as_bytes())?;
        Ok(Connection::Close)
    });
    endpoints.insert(0, first);
    let site = Site::new(&[&endpoints[0]]);
    let daemon = site.start();
    assert_eq!(
        Caller::new(&daemon).ask("POST", "/checkin/1", "r-0", "crash").status,
        200
    );
    for (number, pair) in endpoints.windows(2).enumerate() {
        replace(&site, &pair[0], &pair[1]);
        let mut attempt = 0;
        wait_until("it reaches the endpoint", || {
            let mut caller = Caller::new(&daemon);
            caller.send("POST", "/checkin/1", &format!("r-{number}-{attempt}"), "", "crash");
            attempt += 1;
            let _ = caller.read_answer();
            pair[1].count() > 0
        });
    }
    assert_eq!(daemon.death_count(), Some(0));
}

/// Guards against a request of many callers that all are refused, as endpoints died of another cause while they ran it.
#[test]
fn a_popular_request_is_served_although_endpoints_died_with_it() {
    const CALLERS: usize = 6;
    const DEATHS: usize = 4;
    const SERVED: usize = 30;
    let doomed = Arc::new(AtomicUsize::new(usize::MAX));
    let start = |number| {
        let doomed = Arc::clone(&doomed);
        Endpoint::start(&format!("e{number}"), move |request, _, stream| {
            let is_doomed = doomed.compare_exchange(number, usize::MAX, Relaxed, Relaxed).is_ok();
            if is_doomed {
                return Ok(Connection::Crash);
            }
            stream.write_all(request.answer("200 OK", "", "done").as_bytes())?;
            Ok(Connection::Keep)
        })
    };
    let endpoints: Vec<_> = (0..ENDPOINTS).map(start).collect();
    let all: Vec<_> = endpoints.iter().collect();
    let site = Site::new(&all);
    let daemon = site.start();
    let (served, is_over) = (AtomicUsize::new(0), AtomicBool::new(false));
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (daemon, served, is_over) = (&daemon, &served, &is_over);
            scope.spawn(move || {
                for number in (0..).take_while(|_| !is_over.load(Relaxed)) {
                    let id = format!("r-{caller}-{number}");
                    if Caller::new(daemon).ask("GET", "/checkin/home", &id, "").status == 200 {
                        served.fetch_add(1, Relaxed);
                    }
                }
            });
        }
        let _over = Over(&is_over);
        for number in 0..DEATHS {
            doomed.store(number, Relaxed);
            wait_until("an endpoint died with it", || {
                daemon.death_count().is_some_and(|count| count > number)
            });
            let before = served.load(Relaxed);
            wait_until("it is served again", || served.load(Relaxed) > before + SERVED);
        }
    });
}

/// Ends the callers of a test, also if it fails.
struct Over<'a>(&'a AtomicBool);

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// Guards against a request that crashes each endpoint of one version, and is excused by whole answers of another version.
#[test]
fn a_request_that_crashes_one_version_is_refused_although_another_one_answers_it() {
    let crashing: Vec<_> = endpoints(None).into_iter().map(|one| one.with_version("v2")).collect();
    let sound = Endpoint::plain("sound", "done");
    let site = Site::new(&[&sound]);
    let daemon = site.start();
    let reached = || crashing.iter().map(Endpoint::count).sum::<usize>();
    assert_eq!(Caller::new(&daemon).ask("POST", "/checkin/1", "r", "crash").status, 200);
    for endpoint in &crashing {
        lock(&site.backend).register(endpoint.registration("staff"));
    }
    let mut attempt = 0;
    wait_until("it reaches the other version", || {
        let mut caller = Caller::new(&daemon);
        caller.send("POST", "/checkin/1", &format!("r-{attempt}"), "", "crash");
        attempt += 1;
        let _ = caller.read_answer();
        reached() > 0
    });
    for repeat in 0..REPEATS {
        let mut caller = Caller::new(&daemon);
        caller.send("POST", "/checkin/1", &format!("s-{repeat}"), "", "crash");
        let _ = caller.read_answer();
        wait_until("the deaths are recorded", || daemon.death_count() == Some(reached()));
    }
    assert!((1..=3).contains(&reached()), "it reached {} endpoints", reached());
}
