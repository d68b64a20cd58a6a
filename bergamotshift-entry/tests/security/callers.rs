//! What a caller without a right key can do: nothing, and it is told so.

use ntex::http::Method;
use serde_json::json;

use crate::site::KEY;
use crate::site::Layout;
use crate::site::Site;

#[ntex::test]
async fn nobody_is_let_in_without_a_right_key() {
    let site = Site::start(Layout::default()).await;
    let completion = json!({"model": "tiny", "prompt": "x"}).to_string();
    let places = [
        (Method::GET, "/app/x", ""),
        (Method::POST, "/app/x", "{}"),
        (Method::GET, "/v1/models", ""),
        (Method::POST, "/v1/completions", completion.as_str()),
        (Method::GET, "/nowhere", ""),
    ];
    let shouted = KEY.to_uppercase();
    let wrong = [
        String::new(),
        "Bearer".to_owned(),
        "Bearer ".to_owned(),
        KEY.to_owned(),
        format!("Basic {KEY}"),
        format!("Bearer {KEY}x"),
        format!("Bearer {}", &KEY[1..]),
        format!("Bearer {shouted}"),
        format!("Bearer \"{KEY}\""),
        format!("Bearer {}", bergamotshift_config::digest::Digest::of(KEY)),
    ];
    for (method, path, body) in places {
        let none = site.send_as(method.clone(), path, &[], body).await;
        none.assert_failure(401, "invalid_api_key", "not-run");
        for key in &wrong {
            let headers = [("authorization", key.as_str()), ("idempotency-key", "k")];
            let reply = site.send_as(method.clone(), path, &headers, body).await;
            reply.assert_failure(401, "invalid_api_key", "not-run");
        }
    }
    assert_eq!(site.runs(), 0);
    assert!(site.table.rows().is_empty(), "no claim was written");
}
