//! One request as a stand-in sees it, and how it writes answers.

use std::sync::Arc;

use bergamotshift_core::vm::Incarnation;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header::HeaderName;
use ntex::io::IoRef;
use ntex::util::Bytes;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use smol_str::SmolStr;

use super::control::Control;
use crate::ledger::Run;

/// Carries the attempt id to an endpoint and back.
const ATTEMPT: &str = "x-bergamotshift-attempt";
const KEY: &str = "idempotency-key";
const ORGANISATION: &str = "x-bergamotshift-organisation";

/// A whole request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The connection it came on, to notice that its caller went away.
    pub(crate) io: Option<IoRef>,
    /// The host it came to.
    pub(crate) control: Arc<Control>,
    /// The incarnation of the host it came to.
    pub(crate) incarnation: Incarnation,
}

impl Call {
    /// Returns a header's text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Begins the call's work, unless the incarnation that it came to is dead.
    pub(crate) fn while_alive<T>(&self, begin: impl FnOnce() -> T) -> Option<T> {
        self.control.while_alive(self.incarnation, begin)
    }

    /// Returns the attempt id.
    pub(crate) fn attempt(&self) -> Option<&str> {
        self.header(ATTEMPT)
    }

    /// Returns a query parameter, as it stands.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Parses the body as JSON.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, Response> {
        serde_json::from_slice(&self.body)
            .map_err(|cause| error(StatusCode::BAD_REQUEST, "invalid_request_error", &cause.to_string()))
    }

    /// Returns the run that this call begins at `service`.
    pub(crate) fn run(&self, service: &SmolStr) -> Run {
        let digest =
            bergamotshift_core::fingerprint::Fingerprint::of(service, self.method.as_str(), &self.path, &self.body);
        Run {
            attempt: self.attempt().map(SmolStr::new),
            key: self.header(KEY).map(SmolStr::new),
            organisation: self.header(ORGANISATION).map(SmolStr::new),
            service: service.clone(),
            target: SmolStr::new(format!("{} {}", self.method, self.path)),
            digest: SmolStr::new(format!("{:032x}", digest.get())),
            ..Run::default()
        }
    }
}

/// Decodes a part of a path or query.
pub(crate) fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Writes the call's attempt id into its answer.
pub(crate) fn echo_attempt(call: &Call, response: &mut Response) {
    let name = HeaderName::from_static(ATTEMPT);
    if let Some(value) = call.headers.get(&name) {
        response.headers_mut().insert(name, value.clone());
    }
}

/// Answers a call whose incarnation died; its connection is cut, so nobody reads it.
pub(crate) fn dead() -> Response {
    error(
        StatusCode::INTERNAL_SERVER_ERROR,
        "dead",
        "the incarnation that this call came to is dead",
    )
}

/// Answers 200 with JSON.
pub(crate) fn json(value: &impl Serialize) -> Response {
    Response::build(StatusCode::OK).json(value)
}

/// Answers with an error in the shape of the OpenAI API.
pub(crate) fn error(status: StatusCode, kind: &str, message: &str) -> Response {
    let body = json!({"error": {"message": message, "type": kind, "param": null, "code": null}});
    Response::build(status).json(&body)
}
