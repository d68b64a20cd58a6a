//! Plain answers that break, cross or come late.

use bergamotshift_standin::fault::Fault;
use bergamotshift_standin::plain;
use ntex::http::Method;

use crate::endpoint::Endpoint;
use crate::site::Layout;
use crate::site::Site;

fn plain(plains: usize) -> Layout {
    Layout {
        engines: 0,
        plains,
        ..Layout::default()
    }
}

#[ntex::test]
async fn a_short_answer_is_fetched_again() {
    // An endpoint declares a whole body and closes after half of it. The caller never sees the half: it gets the
    // answer to a second attempt.
    let short = Endpoint::start(|attempt, number| {
        let rest = if number == 0 { "short" } else { "short and the rest" };
        format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\ncontent-length: 18\r\n\r\n{rest}")
    });
    let site = Site::start(Layout {
        raw: Some(short.address()),
        ..plain(0)
    })
    .await;
    let reply = site.send(Method::GET, "/app/x", &[], "").await;
    assert_eq!((reply.text(), reply.whole), ("short and the rest", true));
    assert_eq!(short.served(), 2);
}

#[ntex::test]
async fn an_answer_without_an_announced_end_is_not_whole() {
    // An endpoint answers as HTTP/1.0 did: no length, no chunks, and the end of the connection ends the body. Nobody
    // can tell such an end from a death, and the client library reads the body as empty: the caller must not get an
    // empty answer as whole. It gets a failure that says that the request may have run.
    let bare =
        Endpoint::start(|attempt, _| format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\n\r\nhello"));
    let site = Site::start(Layout {
        raw: Some(bare.address()),
        ..plain(0)
    })
    .await;
    let key = [("idempotency-key", "confirm-8")];
    let reply = site.send(Method::POST, "/app/confirm", &key, "{}").await;
    reply.assert_failure(502, "endpoint_failed", "unknown");
    assert_eq!(bare.served(), 1);
}

#[ntex::test]
async fn a_large_answer_goes_on_where_it_broke() {
    // An answer too large to be held breaks in the middle, with a part already passed on. The second answer begins
    // with the same bytes, so the caller gets its rest and sees one whole body.
    let whole = (0..100_000_u32).fold(String::new(), |text, number| text + &format!("{number:08}"));
    let body = whole.clone();
    let breaking = Endpoint::start(move |attempt, number| {
        let sent = if number == 0 { &body[..500_000] } else { &body };
        format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\ncontent-length: 800000\r\n\r\n{sent}")
    });
    let site = Site::start(Layout {
        raw: Some(breaking.address()),
        ..plain(0)
    })
    .await;
    let reply = site.send(Method::GET, "/app/x", &[], "").await;
    assert!(reply.whole);
    assert!(reply.text() == whole, "the body is the same");
    assert_eq!(breaking.served(), 2);
}

#[ntex::test]
async fn a_large_answer_is_never_made_up_of_two() {
    // The second answer differs from what the caller already has of the first. The body is cut, not completed, and
    // nothing is written in place of what is missing.
    let breaking = Endpoint::start(move |attempt, number| {
        let letter = if number == 0 { "a" } else { "b" };
        let sent = letter.repeat(if number == 0 { 500_000 } else { 800_000 });
        format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\ncontent-length: 800000\r\n\r\n{sent}")
    });
    let site = Site::start(Layout {
        raw: Some(breaking.address()),
        ..plain(0)
    })
    .await;
    let reply = site.send(Method::GET, "/app/x", &[], "").await;
    assert!(!reply.whole);
    assert!(
        reply.body.iter().all(|byte| *byte == b'a'),
        "nothing but the first answer"
    );
    assert_eq!(site.entry.drain(core::time::Duration::from_secs(5)).cut, 0);
}

#[ntex::test]
async fn a_request_that_must_not_run_twice_is_not_sent_again() {
    // A POST is not repeatable: its answer is cut after it ran. The caller is told that nobody knows, and it ran once.
    let site = Site::start(plain(2)).await;
    for plain in &site.plains {
        plain.fault(Fault::LoseAnswerAfterWrite { count: 1 });
    }
    let key = [("idempotency-key", "confirm-7")];
    let reply = site.send(Method::POST, "/app/confirm", &key, "{}").await;
    reply.assert_failure(502, "endpoint_failed", "unknown");
    assert_eq!(site.runs(), 1);
}

#[ntex::test]
async fn a_request_that_must_not_run_twice_needs_a_key() {
    let site = Site::start(plain(1)).await;
    let reply = site.send(Method::POST, "/app/confirm", &[], "{}").await;
    reply.assert_failure(400, "idempotency_key_missing", "not-run");
    assert_eq!(site.runs(), 0);
}

#[ntex::test]
async fn a_dead_endpoint_costs_no_request() {
    // One of two endpoints is gone without notice. No caller notices: nothing of a request that meets a closed port
    // has left, so even those that must not run twice go to the other.
    let site = Site::start(plain(2)).await;
    site.plains[0].kill();
    for number in 0..6 {
        let key = format!("key-{number}");
        let reply = site
            .send(Method::POST, "/app/confirm", &[("idempotency-key", &key)], "{}")
            .await;
        assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    }
    assert_eq!(site.plains[1].ledger().len(), 6);
}

#[ntex::test]
async fn nobody_there_is_not_run() {
    let site = Site::start(plain(2)).await;
    for plain in &site.plains {
        plain.kill();
    }
    let reply = site.send(Method::GET, "/app/x", &[], "").await;
    assert_eq!(reply.status.as_u16(), 503);
    assert_eq!(reply.header("x-bergamotshift-outcome"), Some("not-run"));
    assert!(reply.header("retry-after").is_some());
}

#[ntex::test]
async fn crossed_answers_reach_nobody_else() {
    // One endpoint swaps the answers of two requests that it serves at once. Each caller gets the answer to its own:
    // the attempt's identifier gives the swap away and both are fetched again, elsewhere.
    let site = Site::start(plain(2)).await;
    for plain in &site.plains {
        plain.fault(Fault::Crossed { count: 1 });
    }
    let get = async |path: &'static str| site.send(Method::GET, path, &[], "").await.json()["path"].clone();
    let answers = futures_util::join!(get("/app/a"), get("/app/b"), get("/app/c"), get("/app/d"));
    assert_eq!(
        answers,
        ("/app/a".into(), "/app/b".into(), "/app/c".into(), "/app/d".into())
    );
}

#[ntex::test]
async fn a_late_answer_reaches_nobody() {
    // An endpoint holds an answer back beyond the time that one attempt has. The caller gets another endpoint's; the
    // late one meets a closed connection, and the next request on that endpoint gets its own answer.
    let site = Site::start(Layout {
        app: "target = { answer = \"20ms\" }",
        ..plain(1)
    })
    .await;
    site.plains[0].fault(Fault::Late { ms: 1_500, count: 1 });
    let first = site.send(Method::GET, "/app/first", &[], "").await;
    let second = site.send(Method::GET, "/app/second", &[], "").await;
    assert_eq!(first.json()["path"], "/app/first");
    assert_eq!(second.json()["path"], "/app/second");
    assert_eq!(site.runs(), 3);
}

#[ntex::test]
async fn hop_by_hop_headers_and_the_key_stay_here() {
    let site = Site::start(plain(1)).await;
    let headers = [
        ("x-bergamotshift-attempt", "00000000000000000000000000000001"),
        ("idempotency-key", "k"),
    ];
    let reply = site.send(Method::GET, "/app/x", &headers, "").await;
    assert_eq!(reply.json()["key"], "k");
    let run = &site.plains[0].ledger()[0];
    assert_ne!(run.attempt.as_deref(), Some("00000000000000000000000000000001"));
    assert_eq!(run.organisation.as_deref(), Some("acme"));
}

#[ntex::test]
async fn a_failure_of_the_endpoints_own_says_whether_it_ran() {
    // An endpoint's own failure passes as it is. It ran, unless the endpoint says that it refused; what stands in
    // front of the endpoint and knows nothing of attempts proves nothing.
    let cases = [
        ("x-bergamotshift-attempt: ATTEMPT\r\n", "ran"),
        (
            "x-bergamotshift-attempt: ATTEMPT\r\nx-bergamotshift-outcome: not-run\r\n",
            "not-run",
        ),
        ("", "unknown"),
    ];
    for (headers, outcome) in cases {
        let failing = Endpoint::start(move |attempt, _| {
            let headers = headers.replace("ATTEMPT", attempt);
            format!("HTTP/1.1 409 Conflict\r\n{headers}content-length: 4\r\n\r\nsorry")
        });
        let site = Site::start(Layout {
            raw: Some(failing.address()),
            ..plain(0)
        })
        .await;
        let reply = site.send(Method::GET, "/app/x", &[], "").await;
        assert_eq!((reply.status.as_u16(), reply.text()), (409, "sorr"));
        assert_eq!(reply.header("x-bergamotshift-outcome"), Some(outcome));
    }
}

/// Guards against a large upload that is sent again without its body, as its first answer broke off.
#[ntex::test]
async fn an_upload_is_not_sent_again_without_its_body() {
    const LENGTH: usize = 300 * 1024;
    let site = Site::start(plain(2)).await;
    for plain in &site.plains {
        plain.fault(Fault::ShortBody { count: 1 });
    }
    let reply = site.send(Method::PUT, "/app/x", &[], vec![b'a'; LENGTH]).await;
    let runs = site.plains.iter().flat_map(plain::Server::ledger);
    let digests: Vec<_> = runs.map(|run| run.digest).collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]), "{digests:?}");
    reply.assert_failure(502, "endpoint_failed", "unknown");
    assert_eq!(digests.len(), 1);
}

/// Returns the status and the text that a caller gets whose first attempt is answered with `answer`, and the second one whole.
/// `answer` has the identifier of the attempt in place of `ID`.
async fn after(answer: &'static str) -> (u16, String) {
    let odd = Endpoint::start(move |attempt, number| {
        let whole = "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 5\r\n\r\nwhole";
        let text = if number == 0 { answer } else { whole };
        text.replace("ID", attempt)
    });
    let site = Site::start(Layout {
        raw: Some(odd.address()),
        ..plain(0)
    })
    .await;
    let reply = site.send(Method::GET, "/app/x", &[], "").await;
    assert_eq!(odd.served(), 2, "{answer}");
    (reply.status.as_u16(), reply.text().to_owned())
}

/// Guards against an answer whose status is none, from an endpoint in trouble, that a caller gets as an answer.
#[ntex::test]
async fn a_status_that_is_none_reaches_nobody() {
    for answer in [
        "HTTP/1.1 000 Odd\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 099 Odd\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 100 Continue\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 101 Switching\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 150 Odd\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 600 Odd\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 999 Odd\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 999 Odd\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 99 Odd\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 2000 Odd\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 3\r\n\r\nodd",
    ] {
        assert_eq!(after(answer).await, (200, "whole".to_owned()), "{answer}");
    }
}

/// Guards against part of an answer that looks complete, because the client library does not see where the body ends: it takes
/// the end of the connection for the end of an HTTP/1.0 answer, and bodies without a framing that it knows for empty.
#[ntex::test]
async fn an_answer_whose_end_the_library_does_not_see_is_not_whole() {
    for answer in [
        "HTTP/1.0 200 OK\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 5\r\n\r\nwh",
        "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ID\r\ntransfer-encoding: identity\r\n\r\nwh",
        "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ID\r\ncontent-length: 5\r\nupgrade: websocket\r\n\r\nwh",
    ] {
        assert_eq!(after(answer).await, (200, "whole".to_owned()), "{answer}");
    }
}

/// Guards against an empty or short answer that looks whole, as its endpoint stopped within the head.
#[ntex::test]
async fn part_of_a_head_is_no_answer() {
    for fields in ["content-length: 5", "transfer-encoding: chunked", "connection: close"] {
        let head = move |attempt: &str| {
            format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\n{fields}\r\nx-last: 1\r\n\r\n")
        };
        let cut = Endpoint::start(move |attempt, number| {
            let mut head = head(attempt);
            head.truncate((number * 3).min(head.len() - 1));
            head
        });
        let site = Site::start(Layout {
            raw: Some(cut.address()),
            ..plain(0)
        })
        .await;
        for number in 0..45 {
            let key = format!("confirm-{number}");
            let key = [("idempotency-key", key.as_str())];
            let reply = site.send(Method::POST, "/app/confirm", &key, "{}").await;
            assert!(!reply.status.is_success(), "{fields} {number}: {}", reply.status);
        }
        assert!(cut.served() > 30, "{} requests were sent", cut.served());
    }
}
