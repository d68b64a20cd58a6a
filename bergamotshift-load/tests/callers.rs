//! How callers behave when an entry breaks, refuses or defers, against entries that follow a script.

mod support;

use core::time::Duration;

use bergamotshift_load::check::Promise;
use bergamotshift_load::prelude::*;
use bergamotshift_load::work::Request;
use bergamotshift_standin::engine::text;
use support::Answer;
use support::Entry;

const TOKENS: u32 = 5;
const LABEL: &str = "scripted";

fn share(kind: Kind) -> Share {
    Share {
        kind,
        model: "m".into(),
        path: "/staff/confirm".into(),
        max_tokens: TOKENS,
        ..Default::default()
    }
}

/// Runs one request of this kind against a scripted entry.
fn run(kind: Kind, answers: Vec<Answer>) -> (Report, Vec<String>) {
    let entry = Entry::start(answers);
    let report = bergamotshift_load::run(Plan {
        callers: vec![entry.address()],
        mix: vec![share(kind)],
        rate: 1.0,
        duration: Duration::from_millis(1),
        patience: Duration::from_millis(400),
        threads: 1,
        label: LABEL.into(),
        ..Default::default()
    })
    .unwrap();
    (report, entry.requests())
}

/// Returns the tokens that the run's only request has to get.
fn tokens(kind: Kind) -> Vec<String> {
    let request = Request::draw(&[share(kind)], 1, LABEL, 0);
    let body = serde_json::from_slice(&request.body).unwrap();
    let whole = text::expected(&body, TOKENS).unwrap();
    let length = whole.len() / TOKENS as usize;
    (0..TOKENS as usize)
        .map(|index| whole[index * length..][..length].to_owned())
        .collect()
}

/// Returns the events of tokens that start at `first`, with their numbers.
fn numbered(tokens: &[String], first: usize) -> String {
    let event = |(index, token): (usize, &String)| {
        let chunk = serde_json::json!({"choices": [{"index": 0, "delta": {"content": token}}]});
        format!("id: {index}\ndata: {chunk}\n\n")
    };
    tokens.iter().enumerate().skip(first).map(event).collect()
}

#[test]
fn a_broken_stream_is_taken_up_where_it_stopped() {
    // The caller sees its stream break after three tokens, as when the entry's VM is reclaimed. It comes back under
    // the same key and says which event was the last, so that no token is missing and none comes twice.
    let tokens = tokens(Kind::ChatStream);
    let rest = format!("{}data: [DONE]\n\n", numbered(&tokens, 3));
    let answers = vec![support::events(&numbered(&tokens[..3], 0)), support::events(&rest)];
    let (report, requests) = run(Kind::ChatStream, answers);
    assert!(report.passed(), "{}", report.to_text());
    assert_eq!(
        (report.totals.whole, report.totals.resent, report.totals.tokens),
        (1, 1, u64::from(TOKENS))
    );
    assert!(!requests[0].contains("last-event-id"));
    assert!(requests[1].contains("last-event-id: 2"));
    for request in requests {
        assert!(request.contains("idempotency-key: scripted-0"));
    }
}

#[test]
fn a_token_that_comes_twice_after_a_break_is_found() {
    // The second entry repeats the last token that the first one sent.
    let tokens = tokens(Kind::ChatStream);
    let rest = format!("{}data: [DONE]\n\n", numbered(&tokens, 2));
    let answers = vec![support::events(&numbered(&tokens[..3], 0)), support::events(&rest)];
    let (report, _) = run(Kind::ChatStream, answers);
    assert!(!report.passed());
    assert_eq!(report.violations[0].promise, Promise::Own);
    assert_eq!(report.violations[0].key, "scripted-0");
}

#[test]
fn a_stream_that_nobody_ends_is_cut() {
    // The first entry begins to answer and breaks; after that no entry can be reached until the caller gives up.
    let tokens = tokens(Kind::ChatStream);
    let (report, _) = run(Kind::ChatStream, vec![support::events(&numbered(&tokens[..2], 0))]);
    assert_eq!(report.violations[0].promise, Promise::Whole, "{}", report.to_text());
}

#[test]
fn a_short_body_is_asked_for_again() {
    // The head announces more than comes: the caller must not take it for an answer.
    let request = Request::draw(&[share(Kind::Chat)], 1, LABEL, 0);
    let content = tokens(Kind::Chat).concat();
    let body = serde_json::json!({"choices": [{"message": {"content": content}}]}).to_string();
    let short = support::answer(&format!("200 OK\r\ncontent-length: {}", body.len() + 1), &body);
    let (report, requests) = run(Kind::Chat, vec![short, support::sized("200 OK", "", &body)]);
    assert!(report.passed(), "{}", report.to_text());
    assert_eq!(report.totals.whole, 1);
    assert!(requests.iter().all(|sent| sent.contains(request.key.as_str())));
}

#[test]
fn an_accepted_request_without_an_answer_is_lost() {
    let short = support::answer("200 OK\r\ncontent-length: 10", "");
    let (report, _) = run(Kind::Chat, vec![short]);
    assert_eq!(report.violations[0].promise, Promise::Answered, "{}", report.to_text());
}

#[test]
fn a_refusal_is_final_and_no_violation() {
    let refusal = "\r\nx-bergamotshift-outcome: not-run\r\nx-bergamotshift-request-id: r-7";
    let (report, requests) = run(
        Kind::Once,
        vec![support::sized("503 Service Unavailable", refusal, "{}")],
    );
    assert!(report.passed(), "{}", report.to_text());
    assert_eq!(
        (report.totals.refused, report.totals.accepted, requests.len()),
        (1, 0, 1)
    );
}

#[test]
fn a_caller_comes_back_when_it_is_told_to() {
    let later = support::sized("429 Too Many Requests", "\r\nretry-after: 0", "{}");
    let body = serde_json::json!({"choices": [{"text": tokens(Kind::Completion).concat()}]}).to_string();
    let (report, requests) = run(
        Kind::Completion,
        vec![later.clone(), later, support::sized("200 OK", "", &body)],
    );
    assert!(report.passed(), "{}", report.to_text());
    assert_eq!((report.totals.whole, requests.len()), (1, 3));
}

#[test]
fn a_job_is_fetched_until_it_is_done() {
    let filed = support::sized("202 Accepted", "\r\nlocation: http://elsewhere:1/v1/jobs/7", "{}");
    let waiting = support::sized("202 Accepted", "", "{}");
    let body = serde_json::json!({"choices": [{"message": {"content": tokens(Kind::Job).concat()}}]}).to_string();
    let answers = vec![filed, waiting, support::sized("200 OK", "", &body)];
    let (report, requests) = run(Kind::Job, answers);
    assert!(report.passed(), "{}", report.to_text());
    assert_eq!(report.totals.whole, 1);
    assert!(requests[0].contains("prefer: respond-async"));
    assert!(requests[1].starts_with("get /v1/jobs/7 http/1.1"));
}

#[test]
fn a_job_that_is_never_done_is_lost() {
    let filed = support::sized("202 Accepted", "\r\nlocation: /v1/jobs/7", "{}");
    let (report, _) = run(Kind::Job, vec![filed]);
    assert_eq!(report.violations[0].promise, Promise::Answered, "{}", report.to_text());
}
