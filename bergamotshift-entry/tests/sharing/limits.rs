//! Limits of an organisation.

use bergamotshift_config::digest::Digest;
use ntex::http::Method;
use serde_json::json;

use crate::site::KEY;
use crate::site::Layout;
use crate::site::Reply;
use crate::site::Site;

const LIMITED_KEY: &str = "a long random key of limited";

/// Starts a site with an organisation that has the given limits.
async fn site(limits: &str) -> Site {
    let key = Digest::of(LIMITED_KEY);
    let organisation = format!("[[organisation]]\nname = \"limited\"\nkeys = [\"{key}\"]\nlimits = {limits}\n");
    Site::start(Layout {
        more: organisation.leak(),
        ..Layout::default()
    })
    .await
}

async fn get(site: &Site, key: &str) -> Reply {
    let authorization = format!("Bearer {key}");
    site.send_as(Method::GET, "/app/shift", &[("authorization", &authorization)], "")
        .await
}

async fn chat(site: &Site, stream: bool, bound: Option<u32>) -> Reply {
    let authorization = format!("Bearer {LIMITED_KEY}");
    let body = json!({
        "model": "tiny",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": bound,
        "stream": stream,
    });
    let headers = [("authorization", authorization.as_str())];
    site.send_as(Method::POST, "/v1/chat/completions", &headers, body.to_string())
        .await
}

#[ntex::test]
async fn requests_over_an_organisations_limit_are_refused_and_run_nowhere() {
    // An organisation is limited to one request per thousand seconds with a burst of three. After three requests, those
    // to either kind of service are refused in the API's error format with a time to retry, and reach no endpoint.
    // Another organisation is not affected.
    let site = site("{ requests_per_second = 0.001, burst = 3 }").await;
    for _ in 0..3 {
        assert!(get(&site, LIMITED_KEY).await.status.is_success());
    }
    let refusals = [
        get(&site, LIMITED_KEY).await,
        get(&site, LIMITED_KEY).await,
        chat(&site, false, Some(4)).await,
        chat(&site, true, Some(4)).await,
    ];
    for refused in refusals {
        refused.assert_failure(429, "request_limit", "not-run");
        assert_eq!(refused.json()["error"]["type"], "rate_limit_error");
        let after: u64 = refused.header("retry-after").unwrap().parse().unwrap();
        assert!((900..=1_600).contains(&after), "{after} s");
    }
    assert_eq!(site.runs(), 3);
    assert!(get(&site, KEY).await.status.is_success());
}

#[ntex::test]
async fn tokens_are_counted_by_what_the_answers_held() {
    // An organisation is limited to one token per hundred seconds with a burst of a hundred. Its first request sets no
    // limit, so it is charged for far more than its sixteen tokens and the prompt. The difference has to be refunded,
    // or the second request would be refused. The actual use of both is counted, so the third request, of the same
    // size, is refused.
    for stream in [false, true] {
        let site = site("{ requests_per_second = 0.01, burst = 100, tokens_per_second = 0.01 }").await;
        assert!(chat(&site, stream, None).await.status.is_success());
        assert!(chat(&site, stream, Some(40)).await.status.is_success());
        let refused = chat(&site, stream, Some(40)).await;
        refused.assert_failure(429, "token_limit", "not-run");
        assert_eq!(site.runs(), 2);
    }
}
