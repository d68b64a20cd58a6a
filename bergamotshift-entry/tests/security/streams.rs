//! Model endpoints whose event streams are no such thing.

use std::io::Write;
use std::net::TcpStream;

use serde_json::json;

use crate::hostile::Endpoint;
use crate::site::Layout;
use crate::site::Reply;
use crate::site::Site;

/// Starts a site whose service `llm` has this endpoint alone.
async fn site(endpoint: &Endpoint) -> Site {
    let more = format!(
        "[[endpoint]]\nname = \"hostile\"\nservice = \"llm\"\nzone = \"zone-a\"\nclass = \"small\"\naddress = \"{}\"\n",
        endpoint.address()
    );
    Site::start(Layout {
        engines: 0,
        plains: 1,
        more: more.leak(),
        ..Layout::default()
    })
    .await
}

async fn chat(site: &Site, stream: bool) -> Reply {
    let messages = json!([{"role": "user", "content": "hello"}]);
    let body = json!({"model": "tiny", "messages": messages, "max_tokens": 4, "stream": stream});
    site.open_chat(&body).await.rest().await
}

fn chunk(text: &str) -> String {
    json!({"id": "c", "object": "chat.completion.chunk", "choices": [{"index": 0, "delta": {"content": text}}]})
        .to_string()
}

fn stream(socket: &mut TcpStream, attempt: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    let text = format!("{head}x-bergamotshift-attempt: {attempt}\r\ncontent-length: {length}\r\n\r\n{body}");
    socket.write_all(text.as_bytes())
}

#[ntex::test]
async fn only_data_passes_and_the_numbers_are_the_entrys_own() {
    // An engine numbers its events itself, tells the client to wait before it connects again, and puts comments
    // before data. The caller's place in the stream is the entry's number alone, or taking the stream up again would
    // skip or repeat tokens; and no token is lost to a comment.
    let (one, two, three) = (chunk("one"), chunk("two"), chunk("three"));
    let body = format!(
        "id: 900\nretry: 1\ndata: {one}\n\n: comment\ndata: {two}\n\nevent: other\r\ndata: {three}\r\nid: \
         901\r\n\r\nid: 902\n\ndata: [DONE]\n\n"
    );
    let endpoint = Endpoint::start(move |socket, attempt, _| stream(socket, attempt, &body));
    let site = site(&endpoint).await;
    let reply = chat(&site, true).await;
    assert_eq!(reply.streamed(), ("onetwothree".to_owned(), true), "{}", reply.text());
    for text in ["900", "901", "902", "retry", "event:", "comment"] {
        assert!(!reply.text().contains(text), "{}", reply.text());
    }
}

#[ntex::test]
async fn a_malformed_stream_is_never_whole() {
    // Each of these is no stream that came to its end. The caller's answer tells of a failure or breaks; it never
    // ends as a whole one, nothing of an unfinished event is passed on, and the entry goes on.
    let unfinished = "foreign".repeat(300_000);
    let cases = [
        String::new(),
        "foreign".to_owned(),
        "data: foreign without an end".to_owned(),
        format!("data: {unfinished}"),
        "<html>foreign</html>\n\n".to_owned(),
        format!("data: {}\n\ndata: [DONE", chunk("one")),
    ];
    for body in cases {
        let start = body[..body.len().min(60)].to_owned();
        let endpoint = Endpoint::start(move |socket, attempt, _| stream(socket, attempt, &body));
        let site = site(&endpoint).await;
        let reply = chat(&site, true).await;
        assert!(!reply.text().contains("[DONE]"), "{start}: {}", reply.text());
        assert!(!reply.text().contains("foreign"), "{start}: {}", reply.text());
        assert!(
            reply.status.is_server_error() || !reply.whole,
            "{start}: {}",
            reply.text()
        );
        let plain = site.send(ntex::http::Method::GET, "/app/x", &[], "").await;
        assert_eq!(plain.status.as_u16(), 200, "{start}");
    }
}

#[ntex::test]
async fn an_endless_whole_answer_is_given_up() {
    // The caller asked for a whole answer, and the engine sends without end. The entry gives up at its bound.
    let endpoint = Endpoint::start(|socket, attempt, _| {
        let head =
            format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\ntransfer-encoding: chunked\r\n\r\n");
        socket.write_all(head.as_bytes())?;
        let piece = format!("100000\r\n{}\r\n", "x".repeat(0x10_0000));
        loop {
            socket.write_all(piece.as_bytes())?;
        }
    });
    let site = site(&endpoint).await;
    let reply = chat(&site, false).await;
    assert!(reply.status.is_server_error(), "{}", reply.status);
    endpoint.wait_until_cut();
}
