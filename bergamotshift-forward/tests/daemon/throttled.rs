//! Endpoints that announce a rate limit, in requests per second.

use std::io::Write;
use std::thread;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::wait_until;

/// Number of entries that share an endpoint's rate limit.
const ENTRIES: usize = 4;

/// Rate limit so low that no further request is allowed while a test runs.
const LOW_RATE_LIMIT: &str = "bergamotshift-limit: 0.001\r\n";

/// Starts an endpoint that announces a rate limit in each answer.
fn rate_limited(id: &str) -> Endpoint {
    Endpoint::start(id, |request, _, stream| {
        stream.write_all(request.answer("200 OK", LOW_RATE_LIMIT, "scarce").as_bytes())?;
        Ok(Connection::Keep)
    })
}

fn start_fleet(site: &Site, count: usize) -> Vec<Daemon> {
    let mut daemons: Vec<Daemon> = Vec::new();
    for number in 0..count {
        let seeds: Vec<_> = daemons.first().map(|first| first.listen.peers).into_iter().collect();
        daemons.push(site.launch(&format!("entry-{number:02}"), &seeds));
    }
    for daemon in &daemons {
        wait_until("an entry is ready", || daemon.is_ready());
    }
    daemons
}

/// Guards against entries that each apply an endpoint's rate limit by themselves, or not at all, and together exceed
/// it.
#[test]
fn the_rate_that_an_endpoint_names_is_one_budget_over_all_entries() {
    let (one, two) = (rate_limited("e1"), Endpoint::plain("e2", "done").in_other_zone());
    let site = Site::new(&[&two]);
    let daemons = start_fleet(&site, ENTRIES);
    for daemon in &daemons {
        wait_until("the entries have heard one another", || {
            daemon.peer_count() == Some(ENTRIES - 1)
        });
    }
    lock(&site.backend).register(one.registration("staff"));
    wait_until("the endpoint gets requests", || {
        Caller::new(&daemons[0]).ask("GET", "/checkin/1", "r", "").status == 200 && one.count() > 0
    });
    for number in 0..40 * ENTRIES {
        let answer = Caller::new(&daemons[number % ENTRIES]).ask("GET", "/checkin/1", &format!("r-{number}"), "");
        assert_eq!(answer.status, 200);
    }
    // Each entry may send one request before it learns of the limit. One more is the first request of the budget, and
    // one is granted by the deputy if the granter does not answer in time.
    let count = one.count();
    assert!((1..=ENTRIES + 2).contains(&count), "{count} requests reached it");
}

/// Guards against an endpoint that gets requests beyond its rate limit because it is the only one.
#[test]
fn callers_of_a_sole_endpoint_that_takes_no_more_are_told_when_to_come_back() {
    let one = rate_limited("e1");
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    let answers: Vec<_> = (0..6)
        .map(|number| caller.ask("POST", "/confirm/1", &format!("r-{number}"), "x"))
        .collect();
    assert_eq!(answers[0].status, 200);
    let refused = &answers[5];
    assert_eq!(refused.status, 503);
    let after: f64 = refused
        .header("retry-after")
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    assert!(after > 0.0, "no time to come back");
    assert!(one.count() <= 2, "{} requests reached it", one.count());
}

/// Guards against retries that exceed the rate limit of an endpoint because another one failed.
#[test]
fn a_failed_request_is_not_retried_at_an_endpoint_at_its_rate_limit() {
    let one = rate_limited("e1");
    let two = Endpoint::start("e2", |request, _, stream| {
        stream.write_all(request.answer("500 Internal Server Error", "", "no").as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    for number in 0..20 {
        caller.ask("GET", "/checkin/1", &format!("r-{number}"), "");
    }
    assert!(one.count() <= 2, "{} requests reached it", one.count());
}

/// Guards against streams that are resumed at an endpoint beyond its rate limit because they broke at another one.
#[test]
fn a_broken_stream_is_not_resumed_at_an_endpoint_at_its_rate_limit() {
    let one = rate_limited("e1");
    let two = Endpoint::start("e2", |request, _, stream| {
        let head = request.answer_head(
            "200 OK",
            "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
        );
        stream.write_all((head + "d\r\nid:1\ndata:x\n\n\r\n").as_bytes())?;
        Ok(Connection::Close)
    });
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    for number in 0..20 {
        let mut caller = Caller::new(&daemon);
        caller.send("POST", "/draft/1", &format!("r-{number}"), "", "x");
        // Most of these answers are incomplete; only the number of requests at the endpoint matters.
        let _ = caller.read_answer();
    }
    assert!(lock(&one.requests).len() <= 2, "{} requests reached it", one.count());
}

/// Guards against a rate limit that stays in force after answers no longer announce it.
#[test]
fn a_rate_limit_holds_while_answers_announce_it() {
    let one = Endpoint::start("e1", |request, earlier, stream| {
        let extra = if earlier < 3 { "bergamotshift-limit: 8\r\n" } else { "" };
        stream.write_all(request.answer("200 OK", extra, "done").as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let mut consecutive = 0;
    let mut refused = 0;
    wait_until("the limit is lifted", || {
        let answer = Caller::new(&daemon).ask("POST", "/confirm/1", "r", "x");
        consecutive = if answer.status == 200 { consecutive + 1 } else { 0 };
        refused += usize::from(answer.status == 503);
        consecutive == 30
    });
    assert!(refused > 0, "the limit was never kept");
}

/// Guards against a rate limit that is lifted by an answer that the endpoint did not make, such as that of a proxy.
#[test]
fn only_an_endpoints_own_answer_lifts_its_rate_limit() {
    let one = Endpoint::start("e1", |request, earlier, stream| {
        let answer = if earlier == 0 {
            request.answer("200 OK", LOW_RATE_LIMIT, "scarce")
        } else {
            let id = request.header("bergamotshift-request").unwrap_or_default();
            format!(
                "HTTP/1.1 503 Away\r\nbergamotshift-request: {id}\r\nbergamotshift-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            )
        };
        stream.write_all(answer.as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    wait_until("the budget's first request is granted", || {
        caller.ask("POST", "/confirm/1", "r", "x");
        one.count() == 2
    });
    for number in 0..8 {
        caller.ask("POST", "/confirm/1", &format!("r-{number}"), "x");
    }
    assert_eq!(one.count(), 2);
}

/// Guards against callers that are refused after several endpoints at their rate limit, although another endpoint has
/// none. Entries that compete for the same rate limits are refused permits often.
#[test]
fn callers_are_served_by_an_endpoint_without_a_rate_limit_beside_many_with_one() {
    let limited: Vec<Endpoint> = (1..=16)
        .map(|number| {
            Endpoint::start(&format!("e{number}"), |request, _, stream| {
                stream.write_all(
                    request
                        .answer("200 OK", "bergamotshift-limit: 8\r\n", "done")
                        .as_bytes(),
                )?;
                Ok(Connection::Keep)
            })
        })
        .collect();
    let open = Endpoint::plain("e9", "done");
    let endpoints: Vec<&Endpoint> = limited.iter().chain([&open]).collect();
    let site = Site::new(&endpoints);
    let daemons = start_fleet(&site, ENTRIES);
    thread::scope(|scope| {
        for daemon in &daemons {
            scope.spawn(|| {
                let mut caller = Caller::new(daemon);
                for number in 0..3_000 {
                    let answer = caller.ask("POST", "/confirm/1", &format!("r-{number}"), "x");
                    assert_eq!(answer.status, 200, "{}", answer.text());
                }
            });
        }
    });
}
