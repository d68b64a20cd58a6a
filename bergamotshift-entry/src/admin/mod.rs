//! HTTP handlers of the operators' address: status page, health checks, status as JSON, and metrics.

pub mod status;

use std::sync::Arc;

use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use tokio::sync::oneshot;

use crate::api::reply;
use crate::control;
use crate::worker::Shared;

/// Content type of the `OpenMetrics` text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Status page, with its script and styles inline.
const PAGE: &str = include_str!("page.html");

/// Content security policy of the page: inline script and styles, and requests to its own origin only.
const PAGE_CSP: &str = "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; connect-src \
                           'self'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'";

/// Returns the response to one request on the operators' address.
pub async fn serve(shared: Arc<Shared>, request: Request) -> Response {
    match request.path() {
        "/" => page(),
        "/healthz" => reply::text(StatusCode::OK, "ok\n"),
        "/readyz" if shared.is_ready() => reply::text(StatusCode::OK, "ready\n"),
        "/readyz" => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => metrics(&shared),
        "/status" => status(&shared).await,
        "/peers" => peers(&shared).await,
        _ => reply::text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn page() -> Response {
    Response::build(StatusCode::OK)
        .content_type("text/html; charset=utf-8")
        .header("content-security-policy", PAGE_CSP)
        .header("x-content-type-options", "nosniff")
        .body(PAGE)
}

fn metrics(shared: &Shared) -> Response {
    shared.metrics.ready.set(i64::from(shared.is_ready()));
    match shared.metrics.encode() {
        Ok(text) => Response::build(StatusCode::OK)
            .content_type(METRICS_CONTENT_TYPE)
            .body(text),
        Err(_) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, "the metrics cannot be written\n"),
    }
}

/// Returns this entry's view of the fleet as JSON, or status 404 when the entry runs without peers.
async fn peers(shared: &Shared) -> Response {
    let Some(peers) = shared.peers.get() else {
        return reply::text(StatusCode::NOT_FOUND, "this entry stands alone\n");
    };
    let (sender, status) = oneshot::channel();
    peers.send(crate::peers::Request::Status(sender));
    match status.await {
        Ok(status) => Response::build(StatusCode::OK).json(&status),
        Err(_) => reply::text(StatusCode::SERVICE_UNAVAILABLE, "the entry is ending\n"),
    }
}

async fn status(shared: &Shared) -> Response {
    let (sender, status) = oneshot::channel();
    shared.control.send(control::Request::Status(sender));
    match status.await {
        Ok(status) => Response::build(StatusCode::OK).json(&status),
        Err(_) => reply::text(StatusCode::SERVICE_UNAVAILABLE, "the entry is ending\n"),
    }
}
