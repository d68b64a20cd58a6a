//! Deferred jobs, accepted at one entry and fetched at another, while entries and the table fail.

use core::time::Duration;

use bergamotshift_claim::job;
use bergamotshift_entry::jobs::Settings;
use bergamotshift_standin::engine;
use bergamotshift_standin::fault::Fault;
use bergamotshift_standin::plain;
use ntex::http::Method;
use serde_json::json;

use crate::site::KEY;
use crate::site::Layout;
use crate::site::OTHER_KEY;
use crate::site::Reply;
use crate::site::Site;

const PATH: &str = "/app/rebuild";

/// How often a job is fetched before the test gives up on it.
const LOOKS: u32 = 2_000;

/// Work of an endpoint that does not end while a test runs, however busy the machine is, in milliseconds.
const WORK_BEYOND_THE_TEST_MS: u64 = 60_000;

/// Two entries before one endpoint and one table.
struct Pair {
    first: Site,
    second: Site,
}

fn layout(work_ms: u64, lease: Duration) -> Layout {
    let mut layout = Layout {
        engines: 0,
        plains: 1,
        app: "deferrable = true",
        plain: plain::Settings {
            work_ms,
            ..plain::Settings::default()
        },
        ..Layout::default()
    };
    layout.settings.jobs = Settings {
        scan_interval: Duration::from_millis(10),
        runner: job::Settings {
            lease,
            backoff: Duration::from_millis(20),
            ..job::Settings::default()
        },
        ..Settings::default()
    };
    layout
}

impl Pair {
    async fn start(work_ms: u64) -> Self {
        Self::with_lease(work_ms, Duration::from_millis(400)).await
    }

    async fn with_lease(work_ms: u64, lease: Duration) -> Self {
        let first = Site::start(layout(work_ms, lease)).await;
        let mut layout = Layout {
            plains: 0,
            raw: Some(first.plains[0].address()),
            ..layout(work_ms, lease)
        };
        layout.settings.platform.table = Some(first.table.address());
        layout.settings.platform.objects = Some(first.objects.address());
        // The second entry finds jobs only when the first has had time to.
        layout.settings.jobs.scan_interval = Duration::from_millis(200);
        let second = Site::start(layout).await;
        Self { first, second }
    }

    fn runs(&self) -> usize {
        self.first.plains[0].ledger().len()
    }
}

async fn hand_in(site: &Site, method: Method, key: &str, body: &str) -> Reply {
    let headers = [("prefer", "respond-async"), ("idempotency-key", key)];
    site.send(method, PATH, &headers, body).await
}

fn location(reply: &Reply) -> String {
    assert_eq!(reply.status.as_u16(), 202, "{}", reply.text());
    reply.header("location").unwrap().to_owned()
}

async fn get(site: &Site, job: &str) -> Reply {
    site.send(Method::GET, job, &[], "").await
}

/// Fetches a job until it is no longer open.
async fn ended(site: &Site, job: &str) -> Reply {
    for _ in 0..LOOKS {
        let reply = get(site, job).await;
        if reply.status.as_u16() != 202 {
            return reply;
        }
        ntex::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the job stays open");
}

#[ntex::test]
async fn a_job_is_fetched_from_any_entry() {
    // A rebuild is handed in at one entry and fetched at both. The same key finds the same job, another body under it
    // is refused, and another organisation sees no job at all.
    let pair = Pair::start(0).await;
    let job = location(&hand_in(&pair.first, Method::PUT, "k", "map").await);
    for site in [&pair.second, &pair.first] {
        let reply = ended(site, &job).await;
        assert_eq!(reply.json()["path"], PATH);
    }
    assert_eq!(location(&hand_in(&pair.second, Method::PUT, "k", "map").await), job);
    let other = hand_in(&pair.second, Method::PUT, "k", "another map").await;
    other.assert_failure(422, "idempotency_key_reused", "not-run");
    let authorization = format!("Bearer {OTHER_KEY}");
    let headers = [("authorization", &*authorization)];
    for method in [Method::GET, Method::DELETE] {
        let reply = pair.first.send_as(method, &job, &headers, "").await;
        reply.assert_failure(404, "job_not_found", "not-run");
    }
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_job_outlives_the_entry_that_ran_it() {
    // The entry that accepted a rebuild dies while it runs. Its lease lapses, another entry takes the job, and the
    // caller gets its result there.
    let pair = Pair::start(300).await;
    let job = location(&hand_in(&pair.first, Method::PUT, "k", "map").await);
    while pair.runs() == 0 {
        ntex::time::sleep(Duration::from_millis(1)).await;
    }
    pair.first.entry.drain(Duration::ZERO);
    let reply = ended(&pair.second, &job).await;
    assert_eq!(reply.json()["path"], PATH);
}

#[ntex::test]
async fn a_job_that_must_not_be_repeated_runs_once() {
    // A billed split is handed in, and its entry dies while the endpoint works on it. The next entry finds the claim,
    // does not send again, and the caller is told that the outcome is unknown. The same key without deferral finds
    // the same claim.
    let pair = Pair::start(WORK_BEYOND_THE_TEST_MS).await;
    let authorization = format!("Bearer {KEY}");
    let headers = [
        ("authorization", &*authorization),
        ("prefer", "respond-async"),
        ("idempotency-key", "k"),
    ];
    let reply = pair.first.send_as(Method::POST, PATH, &headers, "split").await;
    let job = location(&reply);
    while pair.runs() == 0 {
        ntex::time::sleep(Duration::from_millis(1)).await;
    }
    pair.first.entry.drain(Duration::ZERO);
    let again = pair
        .second
        .send(Method::POST, PATH, &[("idempotency-key", "k")], "split")
        .await;
    again.assert_failure(409, "in_progress", "unknown");
    assert_eq!(get(&pair.second, &job).await.status.as_u16(), 202);
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_cancelled_job_leaves_no_result() {
    // No endpoint is there, so the job waits. Its caller cancels it at the other entry; then the endpoint is back,
    // and nothing runs any more.
    let pair = Pair::start(0).await;
    pair.first.plains[0].kill();
    let job = location(&hand_in(&pair.first, Method::PUT, "k", "map").await);
    let cancelled = pair.second.send(Method::DELETE, &job, &[], "").await;
    assert_eq!(cancelled.status.as_u16(), 204, "{}", cancelled.text());
    get(&pair.first, &job)
        .await
        .assert_failure(410, "job_cancelled", "unknown");
    pair.first.plains[0].restart();
    let next = location(&hand_in(&pair.first, Method::PUT, "next", "map").await);
    let end = ended(&pair.second, &next).await;
    assert_eq!(end.json()["run"], 1, "{}: {}", end.status, end.text());
    let late = pair.second.send(Method::DELETE, &next, &[], "").await;
    late.assert_failure(409, "job_ended", "ran");
    assert_eq!(pair.runs(), 1);
}

#[ntex::test]
async fn a_job_cancelled_while_it_runs_stays_cancelled() {
    // The caller cancels a rebuild that an endpoint works on. Its result arrives later and must not be kept: the
    // caller has been told that there is none, and nobody bills it.
    // No renewal comes before the result, which would tell the holder.
    let pair = Pair::with_lease(400, Duration::from_secs(30)).await;
    let job = location(&hand_in(&pair.first, Method::PUT, "k", "map").await);
    while pair.runs() == 0 {
        ntex::time::sleep(Duration::from_millis(1)).await;
    }
    let cancelled = pair.second.send(Method::DELETE, &job, &[], "").await;
    assert_eq!(cancelled.status.as_u16(), 204, "{}", cancelled.text());
    let next = location(&hand_in(&pair.first, Method::PUT, "next", "map").await);
    ended(&pair.first, &next).await;
    get(&pair.first, &job)
        .await
        .assert_failure(410, "job_cancelled", "unknown");
}

#[ntex::test]
async fn a_job_that_is_not_kept_is_not_accepted() {
    // The table is down: the caller must not hear 202 for a job that nobody will remember.
    let pair = Pair::start(0).await;
    pair.first.table.kill();
    let reply = hand_in(&pair.first, Method::PUT, "k", "map").await;
    reply.assert_failure(503, "job_not_kept", "not-run");
    pair.first.table.restart();
    let job = location(&hand_in(&pair.second, Method::PUT, "k", "map").await);
    assert_eq!(ended(&pair.second, &job).await.json()["run"], 1);
}

/// Guards against a beginning of many deferred prompts that ends one endpoint after the other, because jobs carried no parts of
/// their prompts: their deaths accused none, and none was refused.
#[ntex::test]
async fn jobs_that_share_a_poisonous_beginning_stop_after_few_endpoints() {
    const ENGINES: usize = 12;
    let mut layout = Layout {
        engines: ENGINES,
        plains: 0,
        llm: "deferrable = true",
        engine: engine::Settings {
            first_token: Duration::from_millis(250),
            ..engine::Settings::default()
        },
        ..layout(0, Duration::from_secs(30))
    };
    layout.settings.jobs.runner.max_runs = 1;
    let site = Site::start(layout).await;
    for engine in &site.engines {
        engine.fault(Fault::CrashOn {
            marker: "poison".to_owned(),
        });
    }
    let beginning = "poison ".repeat(500);
    let hand_in = async |content: String| {
        let chat = json!({"model": "tiny", "messages": [{"role": "user", "content": content}], "max_tokens": 3});
        let headers = [("content-type", "application/json"), ("prefer", "respond-async")];
        let reply = site.send(Method::POST, "/v1/chat/completions", &headers, chat.to_string());
        location(&reply.await)
    };
    for number in 0..ENGINES {
        hand_in(format!("{beginning} {number}")).await;
        let sound = hand_in(format!("hello {number}")).await;
        let reply = ended(&site, &sound).await;
        let crashed = site.runs() - (number + 1);
        assert_eq!(reply.status, 200, "after {crashed} crashes: {}", reply.text());
        assert!(crashed <= 6, "{crashed} endpoints");
    }
}
