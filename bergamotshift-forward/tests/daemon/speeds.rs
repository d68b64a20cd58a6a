//! Speeds that entries learn from the answers of model engines.

use std::io::Write;

use bergamotshift_forward::document::Engine;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;

/// Starts an engine that answers with a stream of one event, and states its load.
fn engine(load: &'static str) -> Endpoint {
    Endpoint::start("e1", move |request, _, stream| {
        let extra = format!("content-type: text/event-stream\r\ncontent-length: 15\r\nbergamotshift-load: {load}\r\n");
        let answer = request.answer_head("200 OK", &extra) + "id: 1\ndata: 1\n\n";
        stream.write_all(answer.as_bytes())?;
        Ok(Connection::Keep)
    })
}

fn start(engine: &Endpoint) -> Daemon {
    let site = Site::new(&[engine]);
    let mut document = crate::site::document(2);
    document.services[0].engine = Some(Engine {
        slots: 8,
        memory: 500_000,
        transfer: None,
    });
    lock(&site.backend).put_document(document);
    site.start()
}

/// Sends three streams, and returns the number of measurements and of reported loads.
fn play(load: &'static str) -> [usize; 3] {
    let engine = engine(load);
    let daemon = start(&engine);
    for number in 0..3 {
        let mut caller = Caller::new(&daemon);
        let extra = "bergamotshift-size: 5000,10\r\n";
        caller.send("POST", "/chat/1", &format!("r-{number}"), extra, "x");
        let answer = caller.read_answer().expect("an answer comes");
        assert!(answer.is_complete && answer.status == 200, "{load}: {}", answer.status);
    }
    let value = |name: &str| daemon.value(name).unwrap_or_default();
    [
        value("bergamotshift_forward_speed_samples_total{outcome=\"measured\"}"),
        value("bergamotshift_forward_speed_changes_total{outcome=\"paced\"}"),
        value("bergamotshift_forward_speed_changes_total{outcome=\"implausible\"}"),
    ]
}

/// Guards against an entry that measures nothing at engines that state their pace, and against one that measures, sends
/// or decides anything by speeds where none is stated or no statement can be used.
#[test]
fn speeds_are_learned_from_engines_that_state_a_pace() {
    assert_eq!(play("1,0,8,137"), [3, 1, 0]);
    assert_eq!(play("1,0,8"), [0, 0, 0]);
    assert_eq!(play("1,0,8,fast"), [0, 0, 1]);
    assert_eq!(play("1,0"), [0, 0, 1]);
}
