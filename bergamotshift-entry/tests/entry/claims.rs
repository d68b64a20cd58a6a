//! Requests that must not run twice, sent again, to two entries, while the table and the endpoints fail.

use core::time::Duration;

use bergamotshift_claim::record::Record;
use bergamotshift_claim::record::State;
use bergamotshift_standin::fault::Fault;
use bergamotshift_standin::plain;
use futures_util::future::join_all;
use ntex::http::Method;

use crate::endpoint::Endpoint;
use crate::site::KEY;
use crate::site::Layout;
use crate::site::OTHER_KEY;
use crate::site::Reply;
use crate::site::Site;

const PATH: &str = "/app/confirm";
const SHIFT: &str = r#"{"shift": {"id": 17}}"#;

/// How often a row is looked at before the test gives up on it.
const LOOKS: u32 = 5_000;

/// Two entries before one endpoint and one table.
struct Pair {
    first: Site,
    second: Site,
}

impl Pair {
    async fn start(work_ms: u64) -> Self {
        let layout = Layout {
            engines: 0,
            plains: 1,
            plain: plain::Settings {
                work_ms,
                ..plain::Settings::default()
            },
            ..Layout::default()
        };
        let first = Site::start(layout).await;
        let mut layout = Layout {
            engines: 0,
            plains: 0,
            raw: Some(first.plains[0].address()),
            ..Layout::default()
        };
        layout.settings.platform.table = Some(first.table.address());
        layout.settings.platform.objects = Some(first.objects.address());
        let second = Site::start(layout).await;
        Self { first, second }
    }

    /// Returns how often the endpoint began the request.
    fn runs(&self) -> usize {
        self.first.plains[0].ledger().len()
    }

    /// Returns once the claim's row is in a state.
    ///
    /// # Panics
    ///
    /// Panics when it does not come to that.
    async fn recorded(&self, wanted: fn(&State) -> bool) {
        for _ in 0..LOOKS {
            let rows = self.first.table.rows();
            let states = rows.iter().map(|(_, row)| Record::decode(&row.body).unwrap().state);
            if states.into_iter().any(|state| wanted(&state)) {
                return;
            }
            ntex::time::sleep(Duration::from_millis(1)).await;
        }
        panic!("no row came into the state: {:?}", self.first.table.rows());
    }
}

async fn confirm(site: &Site, key: &str, body: &str) -> Reply {
    site.send(Method::POST, PATH, &[("idempotency-key", key)], body).await
}

fn assert_answer(reply: &Reply, replayed: bool) {
    assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    assert_eq!(reply.json()["run"], 1);
    assert_eq!(reply.header("idempotency-replayed").is_some(), replayed);
}

#[ntex::test]
async fn a_request_sent_again_is_answered_from_the_record() {
    // A caller confirms a shift and loses the answer. It asks again, at the same entry and at another, and gets the
    // answer of the one run. With another body under the key it is refused, and nothing more runs.
    let pair = Pair::start(0).await;
    assert_answer(&confirm(&pair.first, "k", SHIFT).await, false);
    pair.recorded(|state| matches!(state, State::Done(_))).await;
    assert_answer(&confirm(&pair.first, "k", SHIFT).await, true);
    assert_answer(&confirm(&pair.second, "k", SHIFT).await, true);
    for site in [&pair.first, &pair.second] {
        let reply = confirm(site, "k", "{}").await;
        reply.assert_failure(422, "idempotency_key_reused", "not-run");
    }
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_crowd_of_sendings_runs_once() {
    // An impatient caller sends the same confirmation ten times to two entries while the first is running. Each
    // sending gets the one answer, or is told that the request is under way; none is told that it did not run.
    let pair = Pair::start(50).await;
    let sendings = (0..10).map(|number| {
        let site = if number % 2 == 0 { &pair.first } else { &pair.second };
        confirm(site, "k", SHIFT)
    });
    let replies = join_all(sendings).await;
    let answered = replies.iter().filter(|reply| reply.status.as_u16() == 200).count();
    assert!(answered >= 1);
    for reply in replies.iter().filter(|reply| reply.status.as_u16() != 200) {
        reply.assert_failure(409, "in_progress", "unknown");
        assert!(reply.header("retry-after").is_some());
    }
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_lost_answer_to_the_claim_is_settled_by_reading() {
    // The table records the claim and its answer is lost. The entry reads the row back, finds its own attempt there
    // and sends, once. The caller notices nothing.
    let pair = Pair::start(0).await;
    // The table's client sends a transaction once more when its answer is lost; that answer is lost too.
    pair.first.table.fault(Fault::LoseAnswerAfterWrite { count: 2 });
    assert_answer(&confirm(&pair.first, "k", SHIFT).await, false);
    pair.recorded(|state| matches!(state, State::Done(_))).await;
    assert_answer(&confirm(&pair.second, "k", SHIFT).await, true);
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn without_the_table_nothing_runs_and_the_caller_knows() {
    // The table is down. The caller is told at once that its request did not run, and when to come back. When the
    // table is there again the same key runs.
    let pair = Pair::start(0).await;
    pair.first.table.kill();
    let reply = confirm(&pair.first, "k", SHIFT).await;
    reply.assert_failure(503, "not_recorded", "not-run");
    assert!(reply.header("retry-after").is_some());
    assert_eq!(pair.runs(), 0);
    pair.first.table.restart();
    assert_answer(&confirm(&pair.second, "k", SHIFT).await, false);
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_holder_that_learns_late_of_its_claim_still_sends_alone() {
    // The first entry's claim is recorded and the answer to it is held back, as if the entry were paused there.
    // Meanwhile the caller asks another entry, which finds the claim and does not send. The first one then wakes up
    // and sends: that is the only run.
    let pair = Pair::start(0).await;
    pair.first.table.fault(Fault::Late { ms: 600, count: 1 });
    let first = confirm(&pair.first, "k", SHIFT);
    let second = async {
        pair.recorded(|state| *state == State::Sent).await;
        confirm(&pair.second, "k", SHIFT).await
    };
    let (first, second) = futures_util::join!(first, second);
    second.assert_failure(409, "in_progress", "unknown");
    assert_answer(&first, false);
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_holder_that_gave_up_never_sends() {
    // The answer to the first entry's claim comes after it has told its caller `not-run`. It must not send then, and
    // it takes its claim back, so that the caller's next sending, at another entry, runs: once.
    let pair = Pair::start(0).await;
    pair.first.table.fault(Fault::Late { ms: 1_800, count: 1 });
    let reply = confirm(&pair.first, "k", SHIFT).await;
    reply.assert_failure(503, "not_recorded", "not-run");
    assert_eq!(pair.runs(), 0);
    pair.recorded(|state| *state == State::Withdrawn).await;
    assert_answer(&confirm(&pair.second, "k", SHIFT).await, false);
    pair.recorded(|state| matches!(state, State::Done(_))).await;
    assert_answer(&confirm(&pair.first, "k", SHIFT).await, true);
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_claim_of_an_entry_that_died_is_never_sent_again() {
    // The entry dies while the endpoint works on the request: the row says that it was sent, and no answer will ever
    // be recorded. Another entry says that it is under way until the first one's time is over, and then that nobody
    // knows. It never sends.
    let pair = Pair::start(400).await;
    let Pair { first, second } = &pair;
    let headers = [
        ("authorization", &*format!("Bearer {KEY}")),
        ("idempotency-key", "k"),
        ("x-bergamotshift-deadline-ms", "1000"),
    ];
    let sending = first.send_as(Method::POST, PATH, &headers, SHIFT);
    let dying = async {
        first.plains[0].called(1).await;
        while pair.runs() == 0 {
            ntex::time::sleep(Duration::from_millis(1)).await;
        }
        first.entry.drain(Duration::ZERO);
    };
    let ended = futures_util::future::select(Box::pin(sending), Box::pin(dying)).await;
    drop(ended);
    let reply = confirm(second, "k", SHIFT).await;
    reply.assert_failure(409, "in_progress", "unknown");
    let reply = loop {
        let reply = confirm(second, "k", SHIFT).await;
        if reply.status.as_u16() != 409 {
            break reply;
        }
        ntex::time::sleep(Duration::from_millis(20)).await;
    };
    reply.assert_failure(502, "answer_lost", "unknown");
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_request_whose_endpoint_died_stays_unknown() {
    // The endpoint dies under the request. Whether the shift was confirmed cannot be told, so the caller hears
    // `unknown`, now and whenever it asks again, and no endpoint gets the request a second time.
    let pair = Pair::start(0).await;
    pair.first.plains[0].fault(Fault::CrashOn { marker: "17".into() });
    let reply = confirm(&pair.first, "k", SHIFT).await;
    assert_eq!(reply.header("x-bergamotshift-outcome"), Some("unknown"));
    pair.recorded(|state| *state == State::Unknown).await;
    pair.first.plains[0].restart();
    for site in [&pair.first, &pair.second] {
        confirm(site, "k", SHIFT)
            .await
            .assert_failure(502, "answer_lost", "unknown");
    }
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_refused_request_gives_its_key_back() {
    // No endpoint takes the request, so it did not run, and the key is free: the next sending runs.
    let pair = Pair::start(0).await;
    pair.first.plains[0].kill();
    let reply = confirm(&pair.first, "k", SHIFT).await;
    assert_eq!(reply.header("x-bergamotshift-outcome"), Some("not-run"));
    pair.recorded(|state| *state == State::Withdrawn).await;
    pair.first.plains[0].restart();
    loop {
        let reply = confirm(&pair.second, "k", SHIFT).await;
        if reply.status.as_u16() == 200 {
            break assert_answer(&reply, false);
        }
        assert_eq!(reply.header("x-bergamotshift-outcome"), Some("not-run"));
        ntex::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn organisations_do_not_share_keys() {
    // Two organisations happen to use the same key for the same body. Each has its own run and its own answer.
    let pair = Pair::start(0).await;
    assert_answer(&confirm(&pair.first, "k", SHIFT).await, false);
    pair.recorded(|state| matches!(state, State::Done(_))).await;
    let authorization = format!("Bearer {OTHER_KEY}");
    let headers = [("authorization", &*authorization), ("idempotency-key", "k")];
    let reply = pair.first.send_as(Method::POST, PATH, &headers, SHIFT).await;
    assert_eq!(reply.json()["run"], 2);
    assert_eq!(reply.header("idempotency-replayed"), None);
}

#[ntex::test]
async fn fields_of_the_body_make_a_key() {
    // The apps send no key; the shift's number is one. The same shift in another body is another request under the
    // same key; a body without the number is refused.
    let site = Site::start(Layout {
        engines: 0,
        plains: 1,
        more: "[[route]]\nservice = \"app\"\nmethod = \"POST\"\npath = \"/app/confirm\"\nrepeatable = \
               false\nkey_fields = [\"body.shift.id\"]\n",
        ..Layout::default()
    })
    .await;
    let send = async |body: &'static str| site.send(Method::POST, PATH, &[], body).await;
    assert_answer(&send(SHIFT).await, false);
    assert_eq!(send(r#"{"shift": {"id": 18}}"#).await.json()["run"], 2);
    let other = send(r#"{"shift": {"id": 17}, "cook": true}"#).await;
    assert_ne!(other.status.as_u16(), 200);
    for body in ["{}", r#"{"shift": {"id": null}}"#, "no json"] {
        let reply = send(body).await;
        reply.assert_failure(400, "idempotency_key_missing", "not-run");
    }
    assert_eq!(site.runs(), 2);
}

#[ntex::test]
async fn a_long_answer_is_kept_in_the_object_store() {
    // The answer is too long for the table's row. It is kept in the object store and comes from there when the caller
    // asks again; when the store is away then, the caller is told that the request ran.
    let pair = Pair::start(0).await;
    let path = format!("/app/{}", "x".repeat(5_000));
    let headers = [("idempotency-key", "k")];
    let first = pair.first.send(Method::POST, &path, &headers, SHIFT).await;
    assert_answer(&first, false);
    pair.recorded(|state| matches!(state, State::Done(_))).await;
    let again = pair.second.send(Method::POST, &path, &headers, SHIFT).await;
    assert_answer(&again, true);
    assert_eq!(again.body, first.body);
    pair.first.objects.kill();
    let away = pair.second.send(Method::POST, &path, &headers, SHIFT).await;
    away.assert_failure(502, "answer_not_at_hand", "ran");
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_repeatable_request_joins_and_replays() {
    // Two sendings of the same request with a key are at the entry together, and one follows. The endpoint runs it
    // once, and the platform is not asked.
    let pair = Pair::start(50).await;
    let put = || async {
        let headers = [("idempotency-key", "k")];
        pair.first.send(Method::PUT, "/app/x", &headers, SHIFT).await
    };
    let together = futures_util::join!(put(), put());
    let later = put().await;
    assert_eq!(together.0.body, together.1.body);
    assert_eq!(together.0.body, later.body);
    assert_answer(&later, true);
    let headers = [("idempotency-key", "k")];
    let other = pair.first.send(Method::PUT, "/app/x", &headers, "{}").await;
    other.assert_failure(422, "idempotency_key_reused", "not-run");
    assert_eq!(pair.runs(), 1);
    assert!(pair.first.table.rows().is_empty());
}

/// Guards against a request that runs twice, as an engine's own 503 after a run counts as a refusal before it.
#[ntex::test]
async fn an_engine_that_fails_with_the_status_of_a_refusal_has_run_the_request() {
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        let failing = || {
            Endpoint::start(move |attempt, _| {
                format!("HTTP/1.1 {status}\r\nx-bergamotshift-attempt: {attempt}\r\ncontent-length: 2\r\n\r\n{{}}")
            })
        };
        let engines = [failing(), failing()];
        let site = Site::start(Layout {
            engines: 0,
            plains: 0,
            raw_engines: engines.iter().map(Endpoint::address).collect(),
            more: "[[route]]\nservice = \"llm\"\nmethod = \"POST\"\npath = \"/v1/chat/completions\"\nrepeatable = false\n",
            ..Layout::default()
        })
        .await;
        let body = r#"{"model": "tiny", "messages": [{"role": "user", "content": "hello"}]}"#;
        let fields = [("content-type", "application/json"), ("idempotency-key", "week-7")];
        let reply = site.send(Method::POST, "/v1/chat/completions", &fields, body).await;
        assert_ne!(reply.header("x-bergamotshift-outcome"), Some("not-run"));
        let runs: usize = engines.iter().map(Endpoint::served).sum();
        assert_eq!(runs, 1, "{status}");
    }
}
