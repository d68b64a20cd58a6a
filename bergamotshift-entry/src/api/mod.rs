//! HTTP interface for callers: the OpenAI-compatible API, proxied plain services, and health checks.

pub mod body;
pub mod error;
pub mod header;
pub mod openai;
pub mod plain;
pub mod protocol;
pub mod reply;
pub mod request;
mod stop;

use std::rc::Rc;

use bergamotshift_config::config::Kind;
use bergamotshift_forward::serve::Guard;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header::CONNECTION;
use ntex::http::header::HeaderValue;

use self::error::Error;
use self::error::Reason;
use self::reply::Active;
use crate::jobs;
use crate::worker::Worker;

/// Handles a request of a caller and returns the response.
pub async fn serve(worker: Rc<Worker>, request: Request) -> Response {
    let connection = request.io().cloned();
    let guard = connection.as_ref().map(|connection| worker.callers.track(connection));
    let callers = worker.callers.clone();
    let draining = worker.shared.is_draining();
    let mut response = match request.path() {
        "/healthz" => reply::text(StatusCode::OK, "ok\n"),
        "/readyz" if worker.shared.is_ready() => reply::text(StatusCode::OK, "ready\n"),
        "/readyz" => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => answer(worker, request, guard).await,
    };
    if draining {
        // The caller then sends its next request over a new connection, which the load balancer routes to an entry that
        // is not draining.
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        response
            .head_mut()
            .set_connection_type(ntex::http::ConnectionType::Close);
        if let Some(connection) = connection {
            callers.end(&connection);
        }
    }
    response
}

async fn answer(worker: Rc<Worker>, mut request: Request, guard: Option<Guard>) -> Response {
    let id = worker.generate_id();
    let is_closing = worker.shared.is_draining() && guard.as_ref().is_some_and(Guard::is_closing);
    let active = Active::new(&worker.shared, &request, id, guard);
    let trace = active.trace().clone();
    let served = if is_closing {
        // Its caller expects no answer on this connection, so it must not run.
        Err(Error::not_run(Reason::Stopping))
    } else {
        let dispatched = dispatch(&worker, &mut request, id, active);
        // Whether it ran is not known here, so its caller must not take it for refused.
        let served = worker.shared.drain.until_over(dispatched).await;
        served.unwrap_or_else(|| Err(Error::ended()))
    };
    match served {
        Ok(response) => response,
        Err(error) => {
            body::discard(request.take_payload()).await;
            worker.shared.metrics.failed(error.code(), error.outcome);
            trace.admitted();
            trace.failed(&error.code());
            error.response(id)
        }
    }
}

async fn dispatch(
    worker: &Rc<Worker>,
    request: &mut Request,
    id: bergamotshift_core::attempt::Id,
    active: Active,
) -> Result<Response, Error> {
    if worker.shared.drain.is_closed(worker.shared.now()) {
        return Err(Error::not_run(Reason::Stopping));
    }
    let snapshot = worker.snapshot();
    if !snapshot.ready {
        return Err(Error::not_run(Reason::NotReady));
    }
    let organisation = crate::auth::organisation(&snapshot.config, request.headers())
        .map_err(|error| Error::not_run(Reason::Unauthenticated(error)))?;
    let host = request::host(request);
    let path = request.path();
    if let Some(job) = path.strip_prefix(jobs::PATH) {
        return jobs::serve(worker, &organisation.name, request.method(), job, id).await;
    }
    if let Some(service) = snapshot.config.service_for(host, path)
        && service.kind == Kind::Plain
    {
        return plain::serve(worker, &snapshot, service, organisation, request, id, active).await;
    }
    openai::serve(worker, &snapshot, organisation, request, id, active).await
}
