//! Speeds that entries learn from the answers of model engines.

use std::io::Write;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::large::ENGINE;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;

/// Sends three streams to an engine that states a load, and returns the number of measurements, of services whose pace was
/// stated, and of reported loads.
fn play(load: &'static str) -> [usize; 3] {
    let engine = Endpoint::start("e1", move |request, _, stream| {
        let extra = format!("content-type: text/event-stream\r\ncontent-length: 15\r\nbergamotshift-load: {load}\r\n");
        let answer = request.answer_head("200 OK", &extra) + "id: 1\ndata: 1\n\n";
        stream.write_all(answer.as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = Site::new(&[&engine]);
    let mut document = crate::site::document(2);
    document.services[0].engine = Some(ENGINE);
    lock(&site.backend).put_document(document);
    let daemon = site.start();
    for number in 0..3 {
        let mut caller = Caller::new(&daemon);
        let tokens = "bergamotshift-size: 5000,10\r\n";
        caller.send("POST", "/chat/1", &format!("r-{number}"), tokens, "x");
        let answer = caller.read_answer().expect("an answer comes");
        assert!(answer.is_complete && answer.status == 200, "{load}: {}", answer.status);
    }
    let names = [
        "samples_total{outcome=\"measured\"}",
        "changes_total{outcome=\"paced\"}",
        "changes_total{outcome=\"implausible\"}",
    ];
    names.map(|name| {
        daemon
            .value(&format!("bergamotshift_forward_speed_{name}"))
            .unwrap_or_default()
    })
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
