//! The operators' address, and what it and the log tell.

use core::fmt::Write;
use core::time::Duration;

use bergamotshift_config::digest::Digest;
use bergamotshift_standin::fault::Fault;
use ntex::http::Method;
use serde_json::json;

use crate::journal::Journal;
use crate::site::KEY;
use crate::site::Layout;
use crate::site::OTHER_KEY;
use crate::site::Site;
use crate::site::client;

#[ntex::test]
async fn operators_and_callers_are_apart() {
    let site = Site::start(Layout::default()).await;
    for path in ["/metrics", "/status"] {
        let bare = site.send_as(Method::GET, path, &[], "").await;
        bare.assert_failure(401, "invalid_api_key", "not-run");
        let reply = site.send(Method::GET, path, &[], "").await;
        reply.assert_failure(404, "unknown_service", "not-run");
    }
    let client = client().await;
    let places = [
        (Method::GET, "/app/x"),
        (Method::POST, "/app/x"),
        (Method::GET, "/v1/models"),
        (Method::POST, "/v1/completions"),
        (Method::POST, "/v1/chat/completions"),
    ];
    for (method, path) in places {
        let request = client.request(method, format!("http://{}{path}", site.entry.operators()));
        let request = request.set_header("authorization", format!("Bearer {KEY}"));
        let reply = request.send().await.unwrap();
        assert_eq!(reply.status().as_u16(), 404, "{path}");
    }
    assert_eq!(site.runs(), 0);
}

#[ntex::test]
async fn keys_appear_nowhere() {
    // Requests of every kind go well, are refused and fail, with right and wrong keys. Neither a key nor its digest
    // is found afterwards in any log record, in the metrics, in the status, or in what callers were told.
    const WRONG: &str = "a wrong key that nobody may read";
    let (logger, mut journal) = Journal::start();
    let mut layout = Layout::default();
    layout.settings.logger = logger;
    let site = Site::start(layout).await;
    let mut told = String::new();
    let completion = json!({"model": "tiny", "prompt": "x", "max_tokens": 3}).to_string();
    for fault in [None, Some(Fault::LoseAnswerAfterWrite { count: 1 })] {
        for (plain, fault) in site.plains.iter().zip(fault.iter().cycle()) {
            plain.fault(fault.clone());
        }
        for key in [KEY, OTHER_KEY, WRONG] {
            let authorization = format!("Bearer {key}");
            let headers = [("authorization", authorization.as_str()), ("idempotency-key", "k")];
            for (method, path) in [
                (Method::GET, "/app/x"),
                (Method::POST, "/app/x"),
                (Method::POST, "/v1/completions"),
                (Method::GET, "/nowhere"),
            ] {
                let reply = site.send_as(method, path, &headers, completion.clone()).await;
                writeln!(told, "{:?} {}", reply.headers, reply.text()).unwrap();
            }
        }
    }
    site.plains[0].kill();
    told += site.send(Method::GET, "/app/x", &[], "").await.text();
    let client = client().await;
    for path in ["/metrics", "/status", "/"] {
        let page = client.get(format!("http://{}{path}", site.entry.operators()));
        let page = page.send().await.unwrap().body().await.unwrap();
        told += core::str::from_utf8(&page).unwrap();
    }
    site.entry.drain(Duration::from_secs(5));
    journal.wait("draining");
    told += &journal.text();
    for key in [KEY, OTHER_KEY, WRONG] {
        let digest = Digest::of(key).to_string();
        for secret in [key, digest.as_str(), digest.trim_start_matches("sha256:")] {
            assert!(!told.contains(secret), "found {secret}");
        }
    }
    assert!(told.contains("bergamotshift_requests") && told.contains("invalid_api_key"));
}
