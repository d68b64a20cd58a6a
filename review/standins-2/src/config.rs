//! Parts of the operator's config, and the requests of callers.

use serde_json::Value;
use serde_json::json;

/// Key of the tenant.
pub const KEY: &str = "key-of-hule";

/// Host of all routes.
pub const HOST: &str = "mapa.example";

/// Returns a route of the operator's config.
pub fn route(name: &str, kind: &str, attempts: u32) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 10_000,
        "target_latency_ms": 1_200, "priority": 1, "service": "app", "max_attempts": attempts, "public": false,
        "sticky_sessions": false, "stream_resume": false, "gap_aim_ms": 250,
    })
}

/// Returns a tenant of the operator's config with one key.
pub fn tenant(name: &str, key: &str) -> Value {
    json!({
        "name": name, "api_keys": [key], "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0,
    })
}

/// Returns the request of a caller.
pub fn request(method: &str, path: &str, id: &str, fields: &str) -> String {
    let length = if method == "POST" {
        "Content-Length: 2\r\n\r\nhi"
    } else {
        "\r\n"
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 9000\r\nAuthorization: Token \
         {KEY}\r\n{fields}{length}"
    )
}
