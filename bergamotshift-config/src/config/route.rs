//! Rules for certain requests of a service.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::Kind;
use super::Service;
use super::value;

/// Rule for the requests of one service, method and path: `[[route]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Service that the rule belongs to.
    pub service: name::Service,
    /// HTTP method, in upper case.
    pub method: SmolStr,
    /// Path, which is matched exactly, or as a prefix if it ends in `*`.
    pub path: SmolStr,
    /// Whether a request may run more than once; `None` uses the default of the method.
    pub repeatable: Option<bool>,
    /// Fields of the body from which the idempotency key is made if the caller sends none, such as `body.shift`.
    #[serde(default)]
    pub key_fields: Vec<SmolStr>,
    /// Urgency of the requests; `None` uses the urgency of the service.
    pub urgency: Option<Urgency>,
    /// Maximum total time of a request; `None` uses the deadline of the service.
    #[serde(default, with = "value::maybe_span")]
    pub deadline: Option<Duration>,
}

impl Route {
    /// Returns the specificity of the match with a request, or `None` if the rule does not match.
    pub(super) fn rank(&self, method: &str, path: &str) -> Option<(bool, usize)> {
        if self.method != method {
            return None;
        }
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix).then_some((false, prefix.len())),
            None => (path == self.path).then_some((true, path.len())),
        }
    }
}

/// Handling of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handling {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Fields of the body from which the idempotency key is made if the caller sends none.
    pub key_fields: Vec<SmolStr>,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Maximum total time of the request.
    pub deadline: Duration,
}

impl Handling {
    pub(super) fn new(service: &Service, route: Option<&Route>, method: &str, path: &str) -> Self {
        let default_repeatable = service.kind == Kind::Model || is_idempotent_method(method);
        let repeatable = route.and_then(|route| route.repeatable).unwrap_or(default_repeatable);
        Self {
            // A path that is not normalized could bypass a rule that forbids repetition, and the request could then run
            // twice. On such a path, only safe methods and requests of model services are repeatable.
            repeatable: repeatable && (is_normalized(path) || is_safe_method(method) || service.kind == Kind::Model),
            key_fields: route.map(|route| route.key_fields.clone()).unwrap_or_default(),
            urgency: route.and_then(|route| route.urgency).unwrap_or(service.urgency),
            deadline: route.and_then(|route| route.deadline).unwrap_or(service.deadline),
        }
    }
}

/// Returns whether the HTTP standard defines the method as idempotent.
fn is_idempotent_method(method: &str) -> bool {
    is_safe_method(method) || matches!(method, "PUT" | "DELETE")
}

/// Returns whether the HTTP standard defines the method as safe, that is, without effects on the server.
fn is_safe_method(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// Returns whether the path is normalized: it has no empty or dot segments and no percent sign.
fn is_normalized(path: &str) -> bool {
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    let has_no_dot_segments = path.split('/').skip(1).all(|segment| !matches!(segment, "." | ".."));
    has_no_dot_segments && !path.contains("//") && !path.contains('%')
}
