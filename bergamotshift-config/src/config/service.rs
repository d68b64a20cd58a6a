//! Services that callers can send requests to.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::value;

/// Kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Language model on engines with continuous batching.
    Model,
    /// Any other HTTP service.
    Plain,
}

/// Service that callers can send requests to: `[[service]]`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// Kind of the service.
    pub kind: Kind,
    /// Name of the adapter plug-in that communicates with its endpoints.
    pub adapter: SmolStr,
    /// Names of the models that it serves, as callers request them; model services only.
    #[serde(default)]
    pub models: Vec<name::Model>,
    /// Host names that it serves; empty means any.
    #[serde(default)]
    pub hosts: Vec<SmolStr>,
    /// Prefix of the paths that it serves; plain services only.
    pub path: Option<SmolStr>,
    /// Desired number of endpoints in all zones together.
    #[serde(default)]
    pub workers: u32,
    /// Machine classes that its endpoints may run on; empty means all.
    #[serde(default)]
    pub classes: Vec<name::Class>,
    /// Default urgency of its requests, which a route or the caller may override.
    #[serde(default)]
    pub urgency: Urgency,
    /// Latency targets of urgent requests.
    #[serde(default)]
    pub target: Target,
    /// Maximum total time of a request.
    #[serde(default = "default_deadline", with = "value::span")]
    pub deadline: Duration,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: usize,
    /// Maximum size of a request head, in bytes.
    #[serde(default = "default_max_header")]
    pub max_header: usize,
    /// Zones that it may run in; empty means all.
    #[serde(default)]
    pub zones: Vec<name::Zone>,
    /// Whether callers may submit a request to be executed later.
    #[serde(default)]
    pub deferrable: bool,
    /// Whether its endpoints refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Retry policy for failed attempts.
    #[serde(default)]
    pub retry: Retry,
}

impl Service {
    /// Returns the specificity of the match with a host and path, or `None` if the service does not match.
    pub(super) fn rank(&self, host: &str, path: &str) -> Option<(bool, usize)> {
        let lists_hosts = !self.hosts.is_empty();
        if lists_hosts && !self.hosts.iter().any(|listed| is_same_host(listed, host)) {
            return None;
        }
        match &self.path {
            Some(prefix) => is_under(path, prefix).then_some((lists_hosts, prefix.len())),
            None => lists_hosts.then_some((lists_hosts, 0)),
        }
    }
}

/// Compares host names, ignoring case and the port of `host`.
fn is_same_host(listed: &str, host: &str) -> bool {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    listed.eq_ignore_ascii_case(name)
}

/// Returns whether `path` starts with the path segments of `prefix`.
fn is_under(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || rest.starts_with('?'))
}

/// Latency targets for the 95th percentile of the urgent requests of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Time to the first token.
    #[serde(default, with = "value::maybe_span")]
    pub first_token: Option<Duration>,
    /// Time between two tokens.
    #[serde(default, with = "value::maybe_span")]
    pub between_tokens: Option<Duration>,
    /// Time to the whole response of a plain service.
    #[serde(default, with = "value::maybe_span")]
    pub answer: Option<Duration>,
}

/// Retry policy for failed attempts of repeatable requests.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Average number of retries allowed per first attempt.
    pub budget: f64,
    /// Maximum number of attempts of one request, including the first.
    pub attempts: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            budget: 0.2,
            attempts: 3,
        }
    }
}

const fn default_deadline() -> Duration {
    Duration::from_secs(30)
}

const fn default_max_body() -> usize {
    1024 * 1024
}

const fn default_max_header() -> usize {
    16 * 1024
}
