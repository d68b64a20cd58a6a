//! What one organisation can see or touch of another: nothing.

use ntex::http::Method;
use serde_json::json;

use crate::site::Layout;
use crate::site::OTHER_KEY;
use crate::site::Site;

fn other() -> String {
    format!("Bearer {OTHER_KEY}")
}

#[ntex::test]
async fn a_service_of_others_is_forbidden_and_not_shown() {
    let site = Site::start(Layout::default()).await;
    let key = other();
    let headers = [("authorization", key.as_str())];
    for path in ["/v1/completions", "/v1/chat/completions"] {
        for stream in [false, true] {
            let body = json!({"model": "tiny", "prompt": "x", "messages": [], "stream": stream}).to_string();
            let reply = site.send_as(Method::POST, path, &headers, body).await;
            reply.assert_failure(403, "service_forbidden", "not-run");
        }
    }
    let models = site.send_as(Method::GET, "/v1/models", &headers, "").await;
    assert_eq!(models.json()["data"], json!([]));
    let model = site.send_as(Method::GET, "/v1/models/tiny", &headers, "").await;
    assert_eq!(model.status.as_u16(), 404);
    assert_eq!(site.runs(), 0);
}

#[ntex::test]
async fn the_same_key_of_another_organisation_is_another_request() {
    // Both organisations send the same request under the same idempotency key, one that may be repeated and one that
    // must not run twice. Each gets the answer of its own run: neither joins, replays or blocks the other's.
    let site = Site::start(Layout {
        plains: 1,
        engines: 0,
        ..Layout::default()
    })
    .await;
    let key = other();
    for (number, method) in [Method::GET, Method::POST].into_iter().enumerate() {
        let body = if number == 0 { "" } else { "{}" };
        let idempotent = ("idempotency-key", "the same");
        let own = site.send(method.clone(), "/app/x", &[idempotent], body).await;
        let headers = [("authorization", key.as_str()), idempotent];
        let others = site.send_as(method.clone(), "/app/x", &headers, body).await;
        assert_eq!((own.status.as_u16(), others.status.as_u16()), (200, 200), "{method}");
        assert_eq!(others.header("idempotency-replayed"), None, "{method}");
        assert_ne!(own.json()["run"], others.json()["run"], "{method}");
        let again = site.send(method.clone(), "/app/x", &[idempotent], body).await;
        assert_eq!(
            again.json()["run"],
            own.json()["run"],
            "{method}: one's own is replayed"
        );
    }
    let named: Vec<_> = site.plains[0]
        .ledger()
        .into_iter()
        .map(|run| run.organisation)
        .collect();
    let named: Vec<_> = named.iter().map(|name| name.as_deref().unwrap()).collect();
    assert_eq!(named, ["acme", "other", "acme", "other"]);
}

#[ntex::test]
async fn a_job_of_others_is_not_there() {
    // One organisation hands a job in. Another one that learns its location can neither fetch nor cancel it, and is
    // told the same as of a job that never was; the job is there for its own organisation afterwards.
    let site = Site::start(Layout {
        plains: 1,
        engines: 0,
        app: "deferrable = true",
        ..Layout::default()
    })
    .await;
    let headers = [("prefer", "respond-async"), ("idempotency-key", "k")];
    let accepted = site.send(Method::PUT, "/app/rebuild", &headers, "{}").await;
    assert_eq!(accepted.status.as_u16(), 202, "{}", accepted.text());
    let location = accepted.header("location").unwrap();
    let last = if location.ends_with('0') { "1" } else { "0" };
    let never = format!("{}{last}", &location[..location.len() - 1]);
    let key = other();
    let headers = [("authorization", key.as_str())];
    for method in [Method::GET, Method::DELETE] {
        let theirs = site.send_as(method.clone(), location, &headers, "").await;
        let none = site.send_as(method.clone(), &never, &headers, "").await;
        assert_eq!((theirs.status.as_u16(), none.status.as_u16()), (404, 404), "{method}");
        assert_eq!(theirs.json()["error"]["message"], none.json()["error"]["message"]);
        let bare = site.send_as(method, location, &[], "").await;
        bare.assert_failure(401, "invalid_api_key", "not-run");
    }
    let own = site.send(Method::GET, location, &[], "").await;
    assert!([200, 202].contains(&own.status.as_u16()), "{}", own.text());
    // The other's own job under the same key is another one.
    let headers = [
        ("authorization", key.as_str()),
        ("prefer", "respond-async"),
        ("idempotency-key", "k"),
    ];
    let others = site.send_as(Method::PUT, "/app/rebuild", &headers, "{}").await;
    assert_eq!(others.status.as_u16(), 202, "{}", others.text());
    assert_ne!(others.header("location"), Some(location));
}
