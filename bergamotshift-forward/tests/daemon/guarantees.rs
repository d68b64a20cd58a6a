//! Statuses of endpoints that would tell a caller that its request has not run.

use std::io::Write;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::site::Caller;
use crate::site::Site;

const STATUSES: [&str; 3] = [
    "408 Request Timeout",
    "429 Too Many Requests",
    "503 Service Unavailable",
];

const FIELDS: [&str; 4] = ["", "retry-after: 1\r\n", "retry-after: 0\r\n", "connection: close\r\n"];

/// Returns an endpoint that answers each request with a status of its own, after it has run the request.
fn failing(id: &str, status: &'static str, fields: &'static str) -> Endpoint {
    Endpoint::start(id, move |request, _, stream| {
        stream.write_all(request.answer(status, fields, "it failed").as_bytes())?;
        Ok(if fields.starts_with("connection") {
            Connection::Close
        } else {
            Connection::Keep
        })
    })
}

/// Guards against a request that runs twice, as its caller takes an endpoint's own 503 for the guarantee that it did not run.
#[test]
fn a_status_that_denies_a_run_is_withheld_after_a_run() {
    for (status, fields) in STATUSES
        .iter()
        .flat_map(|status| FIELDS.map(|fields| (*status, fields)))
    {
        for path in ["/confirm/1", "/chat/1"] {
            let (one, two) = (failing("e1", status, fields), failing("e2", status, fields));
            let site = Site::new(&[&one, &two]);
            let daemon = site.start();
            let answer = Caller::new(&daemon).ask("POST", path, "r-1", "x");
            assert_eq!(answer.status, 502, "{status} {fields:?} {path}");
            assert_eq!(answer.header("bergamotshift-seal"), None, "{status} {fields:?} {path}");
            assert_eq!(answer.header("retry-after"), None, "{status} {fields:?} {path}");
            assert_eq!(one.count() + two.count(), 1, "{status} {fields:?} {path}");
        }
    }
}

/// Guards against the same at a second endpoint, after the first one has proved that it did not run the request.
#[test]
fn a_status_that_denies_a_run_is_withheld_after_a_run_at_a_later_endpoint() {
    let full = Endpoint::start("e1", |request, _, stream| {
        let extra = "bergamotshift-not-run: 1\r\n";
        stream.write_all(request.answer("503 Service Unavailable", extra, "").as_bytes())?;
        Ok(Connection::Keep)
    });
    let ran = failing("e2", STATUSES[2], "").in_other_zone();
    let site = Site::new(&[&full, &ran]);
    let daemon = site.start();
    let answer = Caller::new(&daemon).ask("POST", "/confirm/1", "r-1", "x");
    assert_eq!((answer.status, full.count(), ran.count()), (502, 1, 1));
}

#[test]
fn a_status_of_a_repeatable_request_reaches_its_caller_unchanged() {
    for status in STATUSES {
        for path in ["/checkin/1", "/draft/1"] {
            let (one, two) = (failing("e1", status, ""), failing("e2", status, ""));
            let site = Site::new(&[&one, &two]);
            let daemon = site.start();
            let answer = Caller::new(&daemon).ask("POST", path, "r-1", "x");
            assert_eq!(answer.status.to_string(), status[..3], "{path}");
            assert_eq!(answer.header("bergamotshift-seal"), Some("s1"), "{path}");
        }
    }
}
