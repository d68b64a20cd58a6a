//! Each promise's check holds on a sound ledger and fails on one with a seeded violation.

use bergamotshift_core::outcome::Outcome;
use bergamotshift_load::check;
use bergamotshift_load::check::Departure;
use bergamotshift_load::check::Index;
use bergamotshift_load::check::Promise;
use bergamotshift_load::check::Violation;
use bergamotshift_load::ledger::Book;
use bergamotshift_load::ledger::Fate;
use bergamotshift_load::ledger::Record;
use bergamotshift_load::ledger::Run;
use bergamotshift_load::ledger::Sending;
use bergamotshift_load::plan::Share;
use bergamotshift_load::work::Kind;
use bergamotshift_load::work::Request;
use bergamotshift_standin::engine::text;

fn sending(status: u16, outcome: Option<Outcome>) -> Sending {
    Sending {
        entry: "127.0.0.1:1".parse().unwrap(),
        status: Some(status),
        outcome,
        request_id: "r-1".into(),
        broken: None,
    }
}

fn record(key: &str, kind: Kind, fate: Fate) -> Record {
    Record {
        key: key.into(),
        kind,
        fate,
        accepted: !matches!(fate, Fate::Refused | Fate::Unreachable),
        sendings: vec![sending(200, None)],
        ..Default::default()
    }
}

fn run(key: &str) -> Run {
    Run {
        key: Some(key.into()),
        finished: true,
        ..Default::default()
    }
}

fn book(endpoint: &str, keys: &[&str]) -> Book {
    Book {
        endpoint: endpoint.into(),
        runs: keys.iter().copied().map(run).collect(),
        complete: true,
    }
}

/// Runs all checks that need no fault plan.
fn violations(records: &[Record], books: &[Book]) -> Vec<Violation> {
    let index = Index::new(books);
    let mut violations = check::accepted(records, &index);
    violations.extend(check::not_run(records, &index));
    violations.extend(check::at_most_once(records, &index, true));
    violations.extend(check::poison(records, &index));
    violations
}

#[test]
fn a_sound_run_breaks_nothing() {
    let records = [
        record("chat", Kind::ChatStream, Fate::Whole),
        record("once", Kind::Once, Fate::Whole),
        record("away", Kind::Get, Fate::Unreachable),
        Record {
            sendings: vec![sending(503, Some(Outcome::NotRun))],
            ..record("refused", Kind::Once, Fate::Refused)
        },
        Record {
            sendings: vec![sending(502, Some(Outcome::Unknown))],
            ..record("unknown", Kind::Once, Fate::Refused)
        },
    ];
    // A stream that moved ran on two endpoints, which is what moving means.
    let books = [book("a", &["chat", "once"]), book("b", &["chat", "unknown"])];
    assert_eq!(violations(&records, &books), []);
}

#[test]
fn seeded_violations_are_found_with_their_evidence() {
    let denied = Record {
        sendings: vec![sending(503, Some(Outcome::NotRun))],
        ..record("k", Kind::Once, Fate::Refused)
    };
    let cases = [
        (
            "lost",
            Promise::Answered,
            record("k", Kind::Job, Fate::Lost),
            vec![book("a", &["k"])],
        ),
        (
            "cut",
            Promise::Whole,
            record("k", Kind::ChatStream, Fate::Cut),
            vec![book("a", &["k"])],
        ),
        (
            "another's",
            Promise::Own,
            record("k", Kind::Get, Fate::Wrong),
            vec![book("a", &["k"])],
        ),
        ("a false not-run", Promise::NotRun, denied, vec![book("a", &["k"])]),
        (
            "twice",
            Promise::AtMostOnce,
            record("k", Kind::Once, Fate::Whole),
            vec![book("a", &["k"]), book("b", &["k"])],
        ),
        (
            "twice on one",
            Promise::AtMostOnce,
            record("k", Kind::Once, Fate::Whole),
            vec![book("a", &["k", "k"])],
        ),
    ];
    for (name, promise, record, books) in cases {
        let found = violations(&[record], &books);
        assert_eq!(found.len(), 1, "{name}: {found:?}");
        assert_eq!(found[0].promise, promise, "{name}");
        assert_eq!(found[0].key, "k", "{name}");
        assert_eq!(found[0].request_ids, ["r-1"], "{name}");
        assert_eq!(found[0].endpoints[0].as_str(), "a", "{name}");
    }
}

#[test]
fn an_answer_that_no_endpoint_ran_is_found_when_all_ledgers_are_known() {
    let records = [record("k", Kind::Once, Fate::Whole)];
    let index = Index::new(&[]);
    assert_eq!(check::at_most_once(&records, &index, true)[0].promise, Promise::Own);
    assert_eq!(check::at_most_once(&records, &index, false), []);
}

#[test]
fn not_run_is_held_against_all_sendings_together() {
    // The first entry says not-run, the second runs it: the caller got its answer, and the first told the truth.
    let overtaken = Record {
        sendings: vec![sending(503, Some(Outcome::NotRun)), sending(200, None)],
        ..record("k", Kind::Once, Fate::Whole)
    };
    let books = [book("a", &["k"])];
    assert_eq!(violations(&[overtaken], &books), []);
}

#[test]
fn work_that_begins_after_the_notice_is_found() {
    let books = [book("a", &["early", "late"]), book("b", &["other"])];
    let departure = |settled| Departure {
        endpoint: "a".into(),
        settled,
    };
    assert_eq!(check::leaving(&[departure(2)], &books), []);
    let found = check::leaving(&[departure(1)], &books);
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].promise, found[0].key.as_str()), (Promise::Leaving, "late"));
}

#[test]
fn a_poisonous_request_that_goes_on_is_found() {
    let records: Vec<_> = ["p-0", "p-1", "p-2"]
        .into_iter()
        .map(|key| Record {
            poisonous: true,
            ..record(key, Kind::Chat, Fate::Refused)
        })
        .collect();
    let died = |endpoint: &str, key: &str| Book {
        runs: vec![Run {
            finished: false,
            ..run(key)
        }],
        ..book(endpoint, &[])
    };
    let two = [died("a", "p-0"), died("b", "p-1")];
    assert_eq!(violations(&records, &two), []);
    let three = [died("a", "p-0"), died("b", "p-1"), died("c", "p-2")];
    let found = violations(&records, &three);
    assert_eq!(found[0].promise, Promise::Poison);
    assert_eq!(found[0].endpoints.len(), 3);
}

#[test]
fn recomputed_tokens_are_those_beyond_one_run() {
    let part = |prefilled, tokens| Run {
        prefilled,
        tokens,
        ..run("k")
    };
    let whole = Record {
        tokens: 10,
        ..record("k", Kind::ChatStream, Fate::Whole)
    };
    let books = |runs: Vec<Run>| [Book { runs, ..book("a", &[]) }];
    let cases = [
        (vec![part(5, 10)], 0),
        // Six tokens, then the prompt and those six computed anew, then the other four.
        (vec![part(5, 6), part(11, 4)], 11),
        // Two tokens too many were generated before the move.
        (vec![part(5, 8), part(11, 4)], 13),
    ];
    for (runs, recomputed) in cases {
        let books = books(runs);
        assert_eq!(
            check::recomputed(core::slice::from_ref(&whole), &Index::new(&books)),
            recomputed
        );
    }
}

fn request(kind: Kind) -> Request {
    let share = Share {
        kind,
        model: "m".into(),
        path: "/staff/status".into(),
        max_tokens: 6,
        ..Default::default()
    };
    Request::draw(&[share], 3, "label", 4)
}

#[test]
fn generated_text_is_compared_token_by_token() {
    for kind in [Kind::Chat, Kind::ChatStream, Kind::Completion, Kind::CompletionStream] {
        let request = request(kind);
        let body = serde_json::from_slice(&request.body).unwrap();
        let sound = text::expected(&body, 6).unwrap();
        check::content(&request, &sound).unwrap();
        let token = sound.len() / 6;
        let wrong = [
            ("a token is missing", sound[token..].to_owned()),
            ("the last token is missing", sound[..sound.len() - token].to_owned()),
            ("a token came twice", format!("{}{sound}", &sound[..token])),
            (
                "another's text",
                text::expected(&body, 12).unwrap()[sound.len()..].to_owned(),
            ),
            ("nothing", String::new()),
        ];
        for (name, text) in wrong {
            assert!(check::content(&request, &text).is_err(), "{kind}: {name} was taken");
        }
    }
}

#[test]
fn an_echo_is_compared_field_by_field() {
    let request = request(Kind::Once);
    let digest = bergamotshift_core::fingerprint::Fingerprint::of("s", "POST", "/staff/status", &request.body);
    let sound = serde_json::json!({
        "service": "s",
        "vm": "v",
        "method": "POST",
        "path": "/staff/status",
        "key": request.key.as_str(),
        "digest": format!("{:032x}", digest.get()),
        "run": 1,
    });
    check::echo(&request, sound.to_string().as_bytes()).unwrap();
    for field in ["method", "path", "key", "digest", "service"] {
        let mut crossed = sound.clone();
        crossed[field] = "another".into();
        assert!(
            check::echo(&request, crossed.to_string().as_bytes()).is_err(),
            "a wrong {field} was taken"
        );
    }
    assert!(check::echo(&request, b"{").is_err());
}
