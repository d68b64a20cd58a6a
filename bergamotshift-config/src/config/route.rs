//! Rules for some of a service's requests.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::Kind;
use super::Service;
use super::value;

/// A rule for the requests of one service, method and path: `[[route]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The service.
    pub service: name::Service,
    /// The HTTP method, in capitals.
    pub method: SmolStr,
    /// The path: exact, or a prefix when it ends in `*`.
    pub path: SmolStr,
    /// Whether a request may run more than once; the method's default when missing.
    pub repeatable: Option<bool>,
    /// Fields of the body that make up the idempotency key when the caller sends none, such as `body.shift`.
    #[serde(default)]
    pub key_fields: Vec<SmolStr>,
    /// How soon the answer is needed; the service's own when missing.
    pub urgency: Option<Urgency>,
    /// How long a request may take in all; the service's own when missing.
    #[serde(default, with = "value::maybe_span")]
    pub deadline: Option<Duration>,
}

impl Route {
    /// Ranks how closely the rule fits a request; nothing when it does not.
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

/// How one request is to be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handling {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Fields of the body that make up the idempotency key when the caller sends none.
    pub key_fields: Vec<SmolStr>,
    /// How soon the answer is needed.
    pub urgency: Urgency,
    /// How long the request may take in all.
    pub deadline: Duration,
}

impl Handling {
    pub(super) fn new(service: &Service, route: Option<&Route>, method: &str, path: &str) -> Self {
        let by_default = service.kind == Kind::Model || by_method(method);
        let repeatable = route.and_then(|route| route.repeatable).unwrap_or(by_default);
        Self {
            // A path spelt in another way could slip past a rule that forbids repeating, and then run twice. Such a
            // path keeps only the promise of the methods that change nothing.
            repeatable: repeatable && (is_normal(path) || changes_nothing(method) || service.kind == Kind::Model),
            key_fields: route.map(|route| route.key_fields.clone()).unwrap_or_default(),
            urgency: route.and_then(|route| route.urgency).unwrap_or(service.urgency),
            deadline: route.and_then(|route| route.deadline).unwrap_or(service.deadline),
        }
    }
}

/// Returns whether the standard calls the method idempotent.
fn by_method(method: &str) -> bool {
    changes_nothing(method) || matches!(method, "PUT" | "DELETE")
}

fn changes_nothing(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// Returns whether the path has one spelling: no empty or dot segments and no percent sign.
fn is_normal(path: &str) -> bool {
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    let segments_are_plain = path.split('/').skip(1).all(|segment| !matches!(segment, "." | ".."));
    segments_are_plain && !path.contains("//") && !path.contains('%')
}
