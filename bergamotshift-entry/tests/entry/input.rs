//! Bad input: a clear answer in the API's shape, nothing run, and the entry goes on.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

use ntex::http::Method;
use serde_json::Value;

use crate::site::KEY;
use crate::site::Layout;
use crate::site::Site;

/// Sends bytes as they are and returns the head and the JSON body of the first answer.
fn raw(site: &Site, pieces: &[&[u8]]) -> (String, Value) {
    let mut socket = TcpStream::connect(site.entry.callers()).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    for piece in pieces {
        // The entry may have answered and closed already.
        drop(socket.write_all(piece));
    }
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = socket.read(&mut buffer) {
        answer.extend_from_slice(&buffer[..count]);
        if let Some(parsed) = parse(&answer) {
            drop(socket.shutdown(Shutdown::Both));
            return parsed;
        }
    }
    panic!("no whole answer: {}", String::from_utf8_lossy(&answer));
}

fn parse(answer: &[u8]) -> Option<(String, Value)> {
    let text = core::str::from_utf8(answer).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.to_lowercase(), serde_json::from_str(body).ok()?))
}

fn assert_refused(answer: &(String, Value), status: &str, code: &str) {
    let (head, body) = answer;
    assert!(head.starts_with(&format!("http/1.1 {status}")), "{head}\n{body}");
    assert_eq!(body["error"]["code"], code);
    assert_eq!(body["error"]["outcome"], "not-run");
    assert!(head.contains("x-bergamotshift-outcome: not-run"), "{head}");
}

async fn assert_goes_on(site: &Site) {
    let reply = site.send(Method::GET, "/app/fine", &[], "").await;
    assert_eq!(reply.status.as_u16(), 200);
    assert_eq!(site.runs(), 1, "nothing but the last request ran");
}

#[ntex::test]
async fn what_is_too_large_is_refused() {
    let site = Site::start(Layout {
        app: "max_body = 1000\nmax_header = 2000",
        llm: "max_body = 1000",
        ..Layout::default()
    })
    .await;
    let key = [("idempotency-key", "k")];
    let body = site.send(Method::POST, "/app/x", &key, vec![b'x'; 1001]).await;
    body.assert_failure(413, "body_too_large", "not-run");
    let long = "x".repeat(2500);
    let head = site.send(Method::GET, "/app/x", &[("x-long", &long)], "").await;
    head.assert_failure(431, "head_too_large", "not-run");
    let prompt = format!(r#"{{"model": "tiny", "prompt": "{}"}}"#, "x".repeat(1000));
    let model = site.send(Method::POST, "/v1/completions", &[], prompt).await;
    model.assert_failure(413, "body_too_large", "not-run");

    let huge = format!("GET /app/x HTTP/1.1\r\nx-huge: {}\r\n\r\n", "x".repeat(100_000));
    assert_refused(&raw(&site, &[huge.as_bytes()]), "431", "head_too_large");
    let head = format!(
        "PUT /app/x HTTP/1.1\r\nauthorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n",
        "x".repeat(1001)
    );
    assert_refused(&raw(&site, &[head.as_bytes()]), "413", "body_too_large");
    assert_goes_on(&site).await;
}

#[ntex::test]
async fn bodies_that_make_no_sense_are_refused() {
    let site = Site::start(Layout::default()).await;
    let cases: [(&[u8], u16, &str); 5] = [
        (b"{\"model\": \"tiny\", ", 400, "invalid_body"),
        (b"{\"prompt\": \"x\"}", 400, "invalid_body"),
        (b"{\"model\": \"tiny\", \"prompt\": \"\xff\xfe\"}", 400, "invalid_body"),
        (b"", 400, "invalid_body"),
        (b"{\"model\": \"huge\", \"prompt\": \"x\"}", 404, "model_not_found"),
    ];
    for (body, status, code) in cases {
        let reply = site.send(Method::POST, "/v1/completions", &[], body).await;
        reply.assert_failure(status, code, "not-run");
    }
    assert_goes_on(&site).await;
}

#[ntex::test]
async fn unknown_places_and_methods_are_refused() {
    let site = Site::start(Layout::default()).await;
    let unknown = site.send(Method::GET, "/nowhere", &[], "").await;
    unknown.assert_failure(404, "unknown_service", "not-run");
    let method = site.send(Method::GET, "/v1/chat/completions", &[], "").await;
    method.assert_failure(405, "method_not_allowed", "not-run");
    let headers = [("x-bergamotshift-urgency", "very")];
    let urgency = site.send(Method::GET, "/app/x", &headers, "").await;
    urgency.assert_failure(400, "invalid_header", "not-run");
    let headers = [("x-bergamotshift-deadline-ms", "soon")];
    let deadline = site.send(Method::GET, "/app/x", &headers, "").await;
    deadline.assert_failure(400, "invalid_header", "not-run");
    assert_goes_on(&site).await;
}

#[ntex::test]
async fn smuggled_framing_is_refused() {
    // A message that declares its length in two ways could be read as one request here and as two behind. It is
    // refused, and what follows it on the connection is not read as a request.
    let site = Site::start(Layout::default()).await;
    let heads = [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n",
        "content-length: 5\r\ncontent-length: 6\r\n",
        "content-length: -1\r\n",
        "transfer-encoding: chunked, identity\r\n",
        "transfer-encoding: xchunked\r\n",
    ];
    for head in heads {
        let message = format!(
            "PUT /app/x HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n{head}\r\n0\r\n\r\nGET /app/smuggled HTTP/1.1\r\n\r\n"
        );
        assert_refused(&raw(&site, &[message.as_bytes()]), "400", "invalid_http");
    }
    let chunk = format!(
        "PUT /app/x HTTP/1.1\r\nauthorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n"
    );
    assert_refused(&raw(&site, &[chunk.as_bytes()]), "400", "invalid_http");
    assert_refused(&raw(&site, &[b"\x16\x03\x01 not http\r\n\r\n"]), "400", "invalid_http");
    assert_goes_on(&site).await;
}

#[ntex::test]
async fn slow_senders_are_refused() {
    // One caller stops in the middle of its head, one in the middle of its body. Both are told so after their time,
    // and neither holds anything up.
    let mut layout = Layout::default();
    layout.settings.bounds.head_timeout = 1;
    layout.settings.bounds.body_timeout = 1;
    let site = Site::start(layout).await;
    assert_refused(&raw(&site, &[b"GET /app/x HT"]), "408", "too_slow");
    let head = format!("PUT /app/x HTTP/1.1\r\nauthorization: Bearer {KEY}\r\ncontent-length: 100\r\n\r\nfew");
    assert_refused(&raw(&site, &[head.as_bytes()]), "408", "too_slow");
    assert_goes_on(&site).await;
}
