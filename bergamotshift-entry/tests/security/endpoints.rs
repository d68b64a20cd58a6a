//! What an endpoint that lies or misbehaves can do to callers and to the entry.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use ntex::http::Method;

use crate::hostile::Endpoint;
use crate::site::KEY;
use crate::site::Layout;
use crate::site::Reply;
use crate::site::Site;

const FOREIGN: &str = "foreign";

/// Starts a site whose service `app` has this endpoint alone.
async fn site(endpoint: &Endpoint) -> Site {
    Site::start(Layout {
        engines: 1,
        plains: 0,
        raw: Some(endpoint.address()),
        ..Layout::default()
    })
    .await
}

/// Checks that nothing of the endpoint's own reached the caller, and that the entry serves others.
async fn assert_kept_out(site: &Site, reply: &Reply) {
    assert!(reply.status.is_server_error(), "{}", reply.text());
    assert!(!reply.text().contains(FOREIGN), "{}", reply.text());
    let names = reply.headers.iter().map(|(name, value)| format!("{name}: {value:?}"));
    assert!(!names.into_iter().any(|line| line.contains(FOREIGN)));
    let chat =
        serde_json::json!({"model": "tiny", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 2});
    assert_eq!(site.chat(&chat).await.status.as_u16(), 200);
}

#[ntex::test]
async fn an_answer_to_another_attempt_reaches_nobody() {
    for attempt in ["00000000000000000000000000000001", "", "ATTEMPT0", "foreign"] {
        let endpoint = Endpoint::saying(format!(
            "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\ncontent-length: 7\r\n\r\n{FOREIGN}"
        ));
        let site = site(&endpoint).await;
        let reply = site.send(Method::GET, "/app/x", &[], "").await;
        assert_kept_out(&site, &reply).await;
        assert_eq!(reply.header("x-bergamotshift-outcome"), Some("unknown"));
    }
}

#[ntex::test]
async fn heads_beyond_all_bounds_or_sense_reach_nobody() {
    let huge = format!("x-huge: {}\r\n", "foreign".repeat(1_000_000));
    let many = "x-many: foreign\r\n".repeat(10_000);
    let cases = [
        format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\n{huge}content-length: 7\r\n\r\nforeign"),
        format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\n{many}content-length: 7\r\n\r\nforeign"),
        "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\ncontent-length: 7\r\ncontent-length: \
         8\r\n\r\nforeign!"
            .to_owned(),
        "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\ntransfer-encoding: chunked\r\ncontent-length: \
         7\r\n\r\nforeign"
            .to_owned(),
        "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\ncontent-length: -7\r\n\r\nforeign".to_owned(),
        "foreign from the first byte\r\n\r\n".to_owned(),
    ];
    for text in cases {
        let start = text[..text.len().min(120)].to_owned();
        let endpoint = Endpoint::start(move |socket, attempt, _| {
            socket.write_all(text.replace("ATTEMPT", attempt).as_bytes())?;
            socket.shutdown(std::net::Shutdown::Write)
        });
        let site = site(&endpoint).await;
        let reply = site.send(Method::GET, "/app/x", &[], "").await;
        assert!(reply.status.is_server_error(), "{start}");
        assert_kept_out(&site, &reply).await;
    }
}

#[ntex::test]
async fn what_follows_an_answer_is_no_other_answer() {
    // An endpoint writes a second answer behind the first on the same connection. The next request, perhaps of
    // another organisation, must not get it as its own, not even when it looks like an error of something in front
    // of the endpoint, which carries no attempt.
    for forged in ["200 OK", "500 Internal Server Error", "404 Not Found"] {
        let endpoint = Endpoint::saying(format!(
            "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 \
             {forged}\r\ncontent-length: 7\r\n\r\nforeign"
        ));
        let site = site(&endpoint).await;
        for _ in 0..4 {
            let reply = site.send(Method::GET, "/app/x", &[], "").await;
            assert_ne!(reply.text(), FOREIGN, "{forged}");
        }
    }
}

#[ntex::test]
async fn an_endpoint_speaks_for_the_system_in_nothing() {
    // An endpoint claims in an answer that the request did not run, and names a request and an organisation. The
    // caller gets the answer without these words.
    let endpoint = Endpoint::saying(
        "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\nx-bergamotshift-outcome: \
         not-run\r\nx-bergamotshift-request-id: foreign\r\nx-bergamotshift-organisation: foreign\r\nconnection: \
         x-hop\r\nx-hop: foreign\r\ncontent-length: 2\r\n\r\nok",
    );
    let site = site(&endpoint).await;
    let reply = site.send(Method::GET, "/app/x", &[], "").await;
    assert_eq!((reply.status.as_u16(), reply.text()), (200, "ok"));
    assert_eq!(reply.header("x-bergamotshift-outcome"), None);
    assert_eq!(reply.header("x-bergamotshift-attempt"), None);
    assert_eq!(reply.header("x-hop"), None);
    assert_ne!(reply.header("x-bergamotshift-request-id"), Some(FOREIGN));
}

#[ntex::test]
async fn an_endless_answer_ends_with_its_caller() {
    // An endpoint sends without end. The caller takes some and goes away; the entry then closes the connection to
    // the endpoint, holds nothing of it, and serves others.
    let endpoint = Endpoint::start(|socket, attempt, _| {
        let head =
            format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\ntransfer-encoding: chunked\r\n\r\n");
        socket.write_all(head.as_bytes())?;
        loop {
            socket.write_all(b"7\r\nendless\r\n")?;
        }
    });
    let site = site(&endpoint).await;
    let mut caller = TcpStream::connect(site.entry.callers()).unwrap();
    let request = format!("GET /app/x HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n\r\n");
    caller.write_all(request.as_bytes()).unwrap();
    let mut some = vec![0; 1_000_000];
    caller.read_exact(&mut some).unwrap();
    assert!(some.starts_with(b"HTTP/1.1 200"));
    drop(caller);
    endpoint.wait_until_cut();
    assert_eq!(site.entry.drain(core::time::Duration::from_secs(5)).cut, 0);
}
