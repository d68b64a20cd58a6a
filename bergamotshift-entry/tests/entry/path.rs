//! The whole path: a caller's request through an entry to an endpoint and back.

use crate::site::Layout;
use crate::site::OTHER_KEY;
use crate::site::Site;
use bergamotshift_entry::Daemon;
use bergamotshift_entry::Settings;
use bergamotshift_standin::engine::text;
use ntex::http::Method;
use serde_json::json;

#[ntex::test]
async fn models_are_listed_for_those_who_may_use_them() {
    let site = Site::start(Layout::default()).await;
    let list = site.send(Method::GET, "/v1/models", &[], "").await;
    assert_eq!(list.json()["data"][0]["id"], "tiny");
    let model = site.send(Method::GET, "/v1/models/tiny", &[], "").await;
    assert_eq!(model.json()["object"], "model");
    let missing = site.send(Method::GET, "/v1/models/huge", &[], "").await;
    missing.assert_failure(404, "model_not_found", "not-run");

    let other = format!("Bearer {OTHER_KEY}");
    let others = site
        .send_as(Method::GET, "/v1/models", &[("authorization", &other)], "")
        .await;
    assert_eq!(others.json()["data"], json!([]));
}

#[ntex::test]
async fn chats_are_answered_whole_and_as_streams() {
    let site = Site::start(Layout::default()).await;
    let mut body = json!({
        "model": "tiny",
        "messages": [{"role": "user", "content": "a roster for Friday"}],
        "max_tokens": 12,
    });
    let expected = text::expected(&body, 12).unwrap();
    let whole = site.chat(&body).await;
    assert_eq!(whole.status.as_u16(), 200, "{}", whole.text());
    assert_eq!(whole.json()["choices"][0]["message"]["content"], expected);
    assert!(whole.header("x-bergamotshift-request-id").is_some());
    assert!(whole.header("x-bergamotshift-attempt").is_none());

    body["stream"] = json!(true);
    let streamed = site.chat(&body).await;
    assert_eq!(streamed.header("content-type"), Some("text/event-stream"));
    assert_eq!(streamed.streamed(), (expected, true));
    assert!(streamed.whole);
}

#[ntex::test]
async fn completions_are_answered() {
    let site = Site::start(Layout::default()).await;
    let body = json!({"model": "tiny", "prompt": "once upon", "max_tokens": 5});
    let json_type = [("content-type", "application/json")];
    let reply = site
        .send(Method::POST, "/v1/completions", &json_type, body.to_string())
        .await;
    let expected = text::expected(&body, 5).unwrap();
    assert_eq!(reply.json()["choices"][0]["text"], expected);
}

#[ntex::test]
async fn plain_requests_reach_their_service_as_they_are() {
    let site = Site::start(Layout::default()).await;
    let reply = site
        .send(Method::PUT, "/app/shifts/7?day=friday", &[("x-custom", "1")], "body")
        .await;
    let echo = reply.json();
    assert_eq!(echo["method"], "PUT");
    assert_eq!(echo["path"], "/app/shifts/7");
    assert_eq!(echo["query"], "day=friday");
    let head = site.send(Method::HEAD, "/app/shifts/7", &[], "").await;
    assert_eq!(head.status.as_u16(), 200);
    assert!(head.body.is_empty());
    assert_ne!(head.header("content-length"), Some("0"), "a body would follow a GET");
}

#[ntex::test]
async fn only_known_organisations_are_let_in() {
    let site = Site::start(Layout::default()).await;
    let nobody = site.send_as(Method::GET, "/v1/models", &[], "").await;
    nobody.assert_failure(401, "invalid_api_key", "not-run");
    let stranger = [("authorization", "Bearer wrong")];
    let stranger = site.send_as(Method::GET, "/app/x", &stranger, "").await;
    stranger.assert_failure(401, "invalid_api_key", "not-run");
    let other = format!("Bearer {OTHER_KEY}");
    let body = json!({"model": "tiny", "prompt": "x"}).to_string();
    let forbidden = site
        .send_as(Method::POST, "/v1/completions", &[("authorization", &other)], body)
        .await;
    forbidden.assert_failure(403, "service_forbidden", "not-run");
    assert_eq!(site.runs(), 0);
}

#[ntex::test]
async fn health_and_metrics_are_served() {
    let site = Site::start(Layout::default()).await;
    let ready = site.send_as(Method::GET, "/readyz", &[], "").await;
    assert_eq!(ready.status.as_u16(), 200);
    let client = crate::site::client().await;
    let operators = site.entry.operators();
    for (path, needle) in [("/metrics", "bergamotshift_requests"), ("/status", "engine-0")] {
        let page = client.get(format!("http://{operators}{path}")).send().await.unwrap();
        let text = page.body().await.unwrap();
        assert!(core::str::from_utf8(&text).unwrap().contains(needle), "{path}");
    }
}

#[ntex::test]
async fn several_entries_run_in_one_process() {
    let handles: Vec<_> = (0..4)
        .map(|_| {
            Daemon::start(Settings {
                threads: 1,
                ..Settings::default()
            })
            .unwrap()
        })
        .collect();
    let client = crate::site::client().await;
    for handle in &handles {
        let health = client.get(format!("http://{}/healthz", handle.callers()));
        assert_eq!(health.send().await.unwrap().status().as_u16(), 200);
    }
}

#[test]
fn a_wrong_policy_is_told() {
    let error = Daemon::start(Settings {
        policy: "fastest".into(),
        ..Settings::default()
    })
    .unwrap_err();
    assert!(error.to_string().contains("target-then-cost"), "{error}");
}
