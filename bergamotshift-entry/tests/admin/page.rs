//! Tests of the status page.

use ntex::http::StatusCode;

use crate::site::Layout;
use crate::site::Site;
use crate::site::client;

#[ntex::test]
async fn page_loads_nothing_external_and_writes_only_text() {
    let site = Site::start(Layout::default()).await;
    let address = format!("http://{}/", site.entry.operators());
    let response = client().await.get(address).send().await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    assert_eq!(header("content-type"), Some("text/html; charset=utf-8"));
    let policy = header("content-security-policy").unwrap();
    assert!(policy.starts_with("default-src 'none'"), "{policy}");
    assert!(policy.contains("connect-src 'self'"), "{policy}");
    let body = response.body().await.unwrap();
    let page = core::str::from_utf8(&body).unwrap();
    assert!(page.contains("fetch(\"status\""));
    // Constructs that load external resources, or that turn a name into markup or script.
    let forbidden = [
        "//cdn",
        "http:",
        "https:",
        "src=",
        "@import",
        "<link",
        "innerHTML",
        "outerHTML",
        "insertAdjacentHTML",
        "document.write",
        "eval(",
        "new Function",
        "setAttribute",
        "createContextualFragment",
    ];
    for word in forbidden {
        assert!(!page.contains(word), "{word}");
    }
}
