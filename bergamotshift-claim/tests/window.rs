//! Deduplication of requests within one process.

use core::time::Duration;

use bergamotshift_claim::answer;
use bergamotshift_claim::prelude::*;
use bergamotshift_claim::window;
use bergamotshift_core::clock::Instant;
use window::Decision;

const NOW: Instant = Instant::from_secs(5);

fn scope(organisation: &str) -> Scope {
    Scope::new(organisation, "planner-llm", "draft-1")
}

fn digest(body: &[u8]) -> Digest {
    Digest::of("POST", "/v1/chat/completions", body)
}

fn answer(length: usize) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: answer::Body::Inline(vec![7; length]),
    }
}

#[test]
fn the_same_key_joins_and_then_replays() {
    let mut window = Window::new(window::Settings::default());
    assert_eq!(window.enter(NOW, &scope("a"), digest(b"x"), 1), Decision::Start);
    assert_eq!(window.enter(NOW, &scope("a"), digest(b"x"), 2), Decision::Join);
    assert_eq!(window.enter(NOW, &scope("a"), digest(b"y"), 3), Decision::Mismatch);
    assert_eq!(window.finish(NOW, &scope("a"), Some(answer(3))), [2]);
    assert_eq!(
        window.enter(NOW, &scope("a"), digest(b"x"), 4),
        Decision::Replay(answer(3))
    );
    assert_eq!(window.enter(NOW, &scope("a"), digest(b"y"), 5), Decision::Mismatch);
}

// Two organisations use the same key for the same body. Neither may learn that the other's request exists.
#[test]
fn another_organisation_never_joins() {
    let mut window = Window::new(window::Settings::default());
    assert_eq!(window.enter(NOW, &scope("a"), digest(b"x"), 1), Decision::Start);
    assert_eq!(window.enter(NOW, &scope("b"), digest(b"x"), 2), Decision::Start);
    assert_eq!(window.finish(NOW, &scope("a"), Some(answer(3))), []);
    assert_eq!(window.enter(NOW, &scope("b"), digest(b"x"), 3), Decision::Join);
}

#[test]
fn a_request_without_an_answer_is_executed_again() {
    let mut window = Window::new(window::Settings::default());
    window.enter(NOW, &scope("a"), digest(b"x"), 1);
    assert_eq!(window.finish(NOW, &scope("a"), None), []);
    assert_eq!(window.enter(NOW, &scope("a"), digest(b"x"), 2), Decision::Start);
}

#[test]
fn answers_are_removed_by_age_and_size() {
    let settings = window::Settings {
        max_bytes: 10,
        max_answer_bytes: 6,
        ..window::Settings::default()
    };
    let mut window = Window::new(settings);
    for organisation in ["a", "b", "c"] {
        window.enter(NOW, &scope(organisation), digest(b"x"), ());
        window.finish(NOW, &scope(organisation), Some(answer(5)));
    }
    assert_eq!(window.bytes(), 10);
    assert_eq!(
        window.enter(NOW, &scope("a"), digest(b"x"), ()),
        Decision::Start,
        "the oldest went"
    );
    let later = NOW + settings.retention + Duration::from_secs(1);
    assert_eq!(window.enter(later, &scope("c"), digest(b"x"), ()), Decision::Start);
    assert_eq!(window.bytes(), 0);
    window.finish(later, &scope("c"), Some(answer(7)));
    assert_eq!(window.bytes(), 0, "longer than any kept answer");
}

#[test]
fn waiting_callers_are_limited() {
    let mut window = Window::new(window::Settings {
        max_joined: 1,
        ..window::Settings::default()
    });
    window.enter(NOW, &scope("a"), digest(b"x"), 1);
    assert_eq!(window.enter(NOW, &scope("a"), digest(b"x"), 2), Decision::Join);
    assert_eq!(window.enter(NOW, &scope("a"), digest(b"x"), 3), Decision::Full);
}
