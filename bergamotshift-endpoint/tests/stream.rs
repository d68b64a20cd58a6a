//! Tests how event streams are split into events and resumed after a break.

use bergamotshift_endpoint::engine::event::Event;
use bergamotshift_endpoint::engine::event::Splitter;
use bergamotshift_endpoint::engine::progress::Progress;
use bergamotshift_endpoint::engine::resume;
use bergamotshift_endpoint::engine::resume::CHAT;
use bergamotshift_endpoint::engine::resume::COMPLETIONS;
use bergamotshift_endpoint::engine::resume::Resumption;
use ntex::util::Bytes;
use quickcheck::QuickCheck;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use serde_json::Value;
use serde_json::json;

fn chunk(text: &str) -> Event {
    let chunk = json!({ "id": "one", "choices": [{ "index": 0, "delta": { "content": text } }] });
    Event::new(Bytes::from(format!("data: {chunk}")))
}

/// Splits a stream that arrives in pieces of the given lengths.
fn split(stream: &[u8], pieces: &[u8]) -> Vec<Event> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    let mut rest = stream;
    for piece in pieces {
        let (now, later) = rest.split_at(usize::from(*piece).min(rest.len()));
        splitter.push(now).unwrap();
        events.extend(splitter.by_ref());
        rest = later;
    }
    splitter.push(rest).unwrap();
    events.extend(splitter.by_ref());
    events
}

quickcheck! {
    /// A stream gives the same events for any division into pieces.
    fn pieces_do_not_change_events(texts: Vec<String>, pieces: Vec<u8>) -> bool {
        let events: Vec<_> = texts.iter().map(|text| chunk(text)).collect();
        let stream: Vec<u8> = events
            .iter()
            .flat_map(|event| [event.lines(), &b"\n\n"[..]].concat())
            .collect();
        split(&stream, &pieces) == events
    }

    /// The splitter accepts any bytes, and its events hold no more bytes than it received.
    fn any_bytes_are_accepted(bytes: Vec<u8>, pieces: Vec<u8>) -> bool {
        let events = split(&bytes, &pieces);
        let taken: usize = events.iter().map(|event| event.lines().len()).sum();
        taken <= bytes.len()
    }

    /// Progress over any bytes is either parsed or reported as opaque.
    fn any_events_are_recorded(bytes: Vec<u8>) -> bool {
        let mut progress = Progress::default();
        progress.record(&Event::new(Bytes::from(bytes)));
        progress.parse_pending();
        progress.is_opaque() || progress.events() == 1
    }
}

#[test]
fn a_continuation_starts_with_the_delivered_text() {
    // Wherever a stream breaks, the next engine receives exactly the text that the caller has, and the length limit is
    // reduced by exactly the number of tokens that the caller has.
    fn property(texts: Vec<String>, limit: u16) -> TestResult {
        let texts: Vec<_> = texts.into_iter().filter(|text| !text.is_empty()).collect();
        let limit = u64::from(limit) + texts.len() as u64 + 1;
        let mut progress = Progress::default();
        for text in &texts {
            progress.record(&chunk(text));
        }
        progress.parse_pending();
        let body = json!({"model": "m", "messages": [{"role": "user", "content": "x"}], "max_tokens": limit});
        let Resumption::Body(next) = resume::plan(CHAT, &Bytes::from(body.to_string()), &progress) else {
            return TestResult::failed();
        };
        let next: Value = serde_json::from_slice(&next).unwrap();
        let last = &next["messages"][1];
        let same = last["content"] == texts.concat() && last["role"] == "assistant";
        TestResult::from_bool(same && next["max_tokens"] == limit - texts.len() as u64)
    }
    QuickCheck::new().quickcheck(property as fn(Vec<String>, u16) -> TestResult);
}

#[test]
fn requests_that_engines_cannot_continue_are_not_resumed() {
    let mut progress = Progress::default();
    progress.record(&chunk("a"));
    progress.parse_pending();
    let plan = |path, body: Value| resume::plan(path, &Bytes::from(body.to_string()), &progress);
    let impossible = [
        json!({"messages": [], "n": 2}),
        json!({"messages": [], "tools": [{"type": "function"}]}),
        json!({"messages": [], "logprobs": true}),
        json!({"messages": "none"}),
        json!([]),
    ];
    for body in impossible {
        assert_eq!(plan(CHAT, body.clone()), Resumption::Impossible, "{body}");
    }
    assert_eq!(plan(COMPLETIONS, json!({"prompt": ["a", "b"]})), Resumption::Impossible);
    assert!(matches!(
        plan(CHAT, json!({"messages": [], "tools": []})),
        Resumption::Body(_)
    ));
}

#[test]
fn an_answer_started_by_the_caller_is_extended() {
    let mut progress = Progress::default();
    progress.record(&chunk(" b"));
    progress.parse_pending();
    let body = json!({
        "messages": [{"role": "assistant", "content": "a"}],
        "continue_final_message": true,
    });
    let Resumption::Body(next) = resume::plan(CHAT, &Bytes::from(body.to_string()), &progress) else {
        panic!("it can be continued");
    };
    let next: Value = serde_json::from_slice(&next).unwrap();
    assert_eq!(next["messages"], json!([{"role": "assistant", "content": "a b"}]));
}

#[test]
fn a_stream_that_lacks_only_its_end_is_complete() {
    let mut progress = Progress::default();
    progress.record(&chunk("a"));
    progress.parse_pending();
    let body = Bytes::from(json!({"messages": [], "max_tokens": 1}).to_string());
    let Resumption::Complete(events) = resume::plan(CHAT, &body, &progress) else {
        panic!("the bound is reached");
    };
    let last: Value = serde_json::from_slice(events[0].data().unwrap()).unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "length");

    let finish = json!({"id": "one", "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]});
    progress.record(&Event::new(Bytes::from(format!("data: {finish}"))));
    progress.parse_pending();
    assert_eq!(resume::plan(CHAT, &body, &progress), Resumption::Complete(Vec::new()));
}

#[test]
fn a_continuation_keeps_the_first_identifier_and_drops_its_first_chunk() {
    let opening = json!({"id": "two", "choices": [{"delta": {"role": "assistant", "content": ""}}]});
    let opening = Event::new(Bytes::from(format!("data: {opening}")));
    assert_eq!(resume::rewrite(opening, "one", 0), None);
    let next = json!({
        "id": "two",
        "choices": [{"delta": {"content": "x"}}],
        "usage": {"prompt_tokens": 12, "completion_tokens": 3, "total_tokens": 15},
    });
    let next = resume::rewrite(Event::new(Bytes::from(format!("data: {next}"))), "one", 2).unwrap();
    let next: Value = serde_json::from_slice(next.data().unwrap()).unwrap();
    assert_eq!(next["id"], "one");
    assert_eq!(
        next["usage"],
        json!({"prompt_tokens": 10, "completion_tokens": 5, "total_tokens": 15})
    );
}

#[test]
fn comments_are_skipped_and_line_endings_may_differ() {
    let events = split(b": still there\n\ndata: one\r\n\r\ndata: [DONE]\n\n", &[]);
    assert_eq!(events.len(), 2);
    assert_eq!(events[0].data(), Some(&b"one"[..]));
    assert!(events[1].is_done());
}
