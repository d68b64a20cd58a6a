//! Bytes that nobody meant, from callers and from endpoints: the entry goes on, and nothing runs that was not asked for.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use ntex::http::Method;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use serde_json::json;

use crate::hostile::Endpoint;
use crate::site::KEY;
use crate::site::Layout;
use crate::site::Site;

/// So that a failure comes again.
const SEED: u64 = 0x7e57;

const ROUNDS: usize = 300;

/// Changes a message in a few places: bytes put in, taken out, doubled, or the rest cut off.
fn change(message: &[u8], generator: &mut Gen) -> Vec<u8> {
    let mut bytes = message.to_vec();
    for _ in 0..=usize::arbitrary(generator) % 4 {
        let at = usize::arbitrary(generator) % (bytes.len() + 1);
        let to = (at + usize::arbitrary(generator) % 8).min(bytes.len());
        match u8::arbitrary(generator) % 5 {
            0 => drop(bytes.splice(at..to, Vec::<u8>::arbitrary(generator))),
            1 => drop(bytes.drain(at..to)),
            2 => bytes.extend_from_within(at..),
            3 => bytes.truncate(at),
            _ => drop(bytes.splice(at..to, *b"\r\n")),
        }
    }
    bytes
}

/// Sends bytes and leaves the connection open: who goes away gets no answer.
fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    // The entry may have answered and closed already.
    drop(socket.write_all(bytes));
    socket
}

/// Reads the first line of what comes back, if anything does.
fn first_line(mut socket: TcpStream) -> String {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") && socket.read(&mut byte).is_ok_and(|count| count == 1) {
        line.push(byte[0]);
    }
    String::from_utf8_lossy(&line).into_owned()
}

#[ntex::test]
async fn any_bytes_of_callers_run_nothing_without_a_key() {
    // What is cut off is answered after its time, so that time is short, and all connections wait side by side.
    let mut layout = Layout::default();
    layout.settings.bounds.head_timeout = 1;
    layout.settings.bounds.body_timeout = 1;
    let site = Site::start(layout).await;
    let wrong = KEY.replace('k', "c");
    let body = json!({"model": "tiny", "messages": [{"role": "user", "content": "x"}]}).to_string();
    let messages = [
        format!("GET /app/x HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {wrong}\r\nidempotency-key: k\r\n\r\n"),
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {wrong}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ),
        format!(
            "PUT /app/x HTTP/1.1\r\nauthorization: Bearer {wrong}\r\ntransfer-encoding: \
             chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        ),
    ];
    let mut generator = Gen::from_size_and_seed(32, SEED);
    let changed: Vec<_> = (0..ROUNDS)
        .map(|round| change(messages[round % messages.len()].as_bytes(), &mut generator))
        .collect();
    for address in [site.entry.callers(), site.entry.operators()] {
        let sockets: Vec<_> = changed.iter().map(|bytes| send(address, bytes)).collect();
        let lines: Vec<_> = sockets.into_iter().map(first_line).collect();
        for (line, bytes) in lines.iter().zip(&changed) {
            assert!(line.is_empty() || line.starts_with("HTTP/1.1 4"), "{bytes:?}: {line}");
        }
        let refused = lines
            .iter()
            .filter(|line| line.contains(" 401 ") || line.contains(" 404 "));
        assert!(refused.count() > ROUNDS / 10, "{lines:?}");
    }
    assert_eq!(site.runs(), 0);
    let reply = site.send(Method::GET, "/app/fine", &[], "").await;
    assert_eq!(reply.status.as_u16(), 200);
}

#[ntex::test]
async fn any_body_gets_an_answer() {
    let site = Site::start(Layout::default()).await;
    let body = json!({
        "model": "tiny", "stream": false, "max_tokens": 1, "messages": [{"role": "user", "content": "x"}], "prompt": "x"
    });
    let body = body.to_string();
    let mut generator = Gen::from_size_and_seed(32, SEED);
    let mut bodies: Vec<_> = (0..ROUNDS).map(|_| change(body.as_bytes(), &mut generator)).collect();
    bodies.push("[".repeat(100_000).into_bytes());
    bodies.push(format!("{{\"model\":\"tiny\",\"prompt\":{}", "[".repeat(100_000)).into_bytes());
    for (round, body) in bodies.into_iter().enumerate() {
        let path = ["/v1/chat/completions", "/v1/completions"][round % 2];
        let reply = site.send(Method::POST, path, &[], body).await;
        let status = reply.status.as_u16();
        assert!(
            reply.whole && (200..=503).contains(&status) && status != 500,
            "{status}: {}",
            reply.text()
        );
    }
}

/// Starts a site whose services have one endpoint each that answers with changed bytes, in another way each time.
async fn site(endpoint: &Endpoint, engine: &Endpoint) -> Site {
    let more = format!(
        "[[endpoint]]\nname = \"hostile\"\nservice = \"llm\"\nzone = \"zone-a\"\nclass = \"small\"\naddress = \"{}\"\n",
        engine.address()
    );
    Site::start(Layout {
        engines: 0,
        plains: 0,
        raw: Some(endpoint.address()),
        more: more.leak(),
        ..Layout::default()
    })
    .await
}

/// Starts an endpoint that answers each attempt with a changed message, and ends the connection.
fn changing(message: &str) -> Endpoint {
    let message = message.to_owned();
    Endpoint::start(move |socket, attempt, number| {
        let mut generator = Gen::from_size_and_seed(32, SEED + number as u64);
        let bytes = change(message.replace("ATTEMPT", attempt).as_bytes(), &mut generator);
        socket.write_all(&bytes)?;
        socket.shutdown(Shutdown::Write)
    })
}

#[ntex::test]
async fn any_bytes_of_endpoints_leave_the_entry_going() {
    let plain = changing("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\ncontent-length: 2\r\n\r\nok");
    let stream = "data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n";
    let engine = changing(&format!(
        "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\ncontent-type: \
         text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{stream}\r\n0\r\n\r\n",
        stream.len()
    ));
    let site = site(&plain, &engine).await;
    let chat =
        json!({"model": "tiny", "messages": [{"role": "user", "content": "x"}], "stream": true, "max_tokens": 3});
    for _ in 0..ROUNDS / 10 {
        let reply = site.send(Method::GET, "/app/x", &[], "").await;
        assert!(!reply.status.is_informational());
        let stream = site.open_chat(&chat).await.rest().await;
        assert!(!stream.status.is_informational());
    }
    assert!(plain.heads().len() + engine.heads().len() > ROUNDS / 10);
    assert_eq!(site.entry.active(), 0);
    let health = site.send_as(Method::GET, "/healthz", &[], "").await;
    assert_eq!(health.status.as_u16(), 200);
}

#[ntex::test]
async fn any_load_report_leaves_requests_going() {
    // Each endpoint answers requests well, and its load report is at a bound, past it, or no report at all. Requests
    // are served all the same.
    let (most, many) = (u32::MAX, u64::MAX);
    let full = format!(
        "{{\"sequence\":{many},\"running\":{most},\"waiting\":{most},\"slots\":{most},\"prefill_backlog\":{most},\
         \"decode_rate\":{most},\"cache_permille\":65535,\"leaving\":false}}"
    );
    let reports = [
        full.clone(),
        full.replace(&most.to_string(), "0").replace("65535", "0"),
        full.replace(&format!("\"slots\":{most}"), "\"slots\":0"),
        full.replace(&format!("\"decode_rate\":{most}"), "\"decode_rate\":0"),
        full.replace(&most.to_string(), "4294967296"),
        full.replace(&most.to_string(), "-1"),
        full.replace(&most.to_string(), "1e999"),
        "[".repeat(100_000),
        "x".repeat(10_000_000),
        String::new(),
    ];
    for report in reports {
        let start = report[..report.len().min(80)].to_owned();
        let length = report.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n");
        let endpoint = Endpoint::reporting(
            |socket, attempt, _| {
                let head = format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\n");
                socket.write_all(format!("{head}content-length: 2\r\n\r\nok").as_bytes())
            },
            format!("{head}{report}").into_bytes(),
        );
        let site = site(&endpoint, &changing("")).await;
        for _ in 0..5 {
            let reply = site.send(Method::GET, "/app/x", &[], "").await;
            assert_eq!(reply.status.as_u16(), 200, "{start}: {}", reply.text());
            // Each status is written after the reports that came before it were taken in.
            assert!(site.status().await.is_object(), "{start}");
        }
    }
}
