//! Services that callers reach.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::value;

/// How a service's endpoints are spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A language model behind engines that batch continuously.
    Model,
    /// Any HTTP service, routed as it is.
    Plain,
}

/// A service that callers reach: `[[service]]`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: name::Service,
    /// How its endpoints are spoken to.
    pub kind: Kind,
    /// The plug-in that speaks to its endpoints.
    pub adapter: SmolStr,
    /// The models it serves, as callers ask for them; model services only.
    #[serde(default)]
    pub models: Vec<name::Model>,
    /// The hosts it answers for; empty means any.
    #[serde(default)]
    pub hosts: Vec<SmolStr>,
    /// The start of the paths it answers for; plain services only.
    pub path: Option<SmolStr>,
    /// The endpoints wanted in all zones together.
    #[serde(default)]
    pub workers: u32,
    /// The machine classes its endpoints may run on; empty means all.
    #[serde(default)]
    pub classes: Vec<name::Class>,
    /// How soon its answers are needed, unless a route or the caller says otherwise.
    #[serde(default)]
    pub urgency: Urgency,
    /// The latency that urgent answers keep.
    #[serde(default)]
    pub target: Target,
    /// How long a request may take in all.
    #[serde(default = "default_deadline", with = "value::span")]
    pub deadline: Duration,
    /// The largest body of a request, in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: usize,
    /// The largest head of a request, in bytes.
    #[serde(default = "default_max_header")]
    pub max_header: usize,
    /// The zones it may run in; empty means all.
    #[serde(default)]
    pub zones: Vec<name::Zone>,
    /// Whether callers may leave a request to be done later.
    #[serde(default)]
    pub deferrable: bool,
    /// Whether its endpoints refuse an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// How failed attempts are repeated.
    #[serde(default)]
    pub retry: Retry,
}

impl Service {
    /// Ranks how well the service fits a host and path; nothing when it does not.
    pub(super) fn rank(&self, host: &str, path: &str) -> Option<(bool, usize)> {
        let named = !self.hosts.is_empty();
        if named && !self.hosts.iter().any(|own| same_host(own, host)) {
            return None;
        }
        match &self.path {
            Some(prefix) => starts(path, prefix).then_some((named, prefix.len())),
            None => named.then_some((named, 0)),
        }
    }
}

/// Compares host names without case and without the port.
fn same_host(own: &str, host: &str) -> bool {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    own.eq_ignore_ascii_case(name)
}

/// Returns whether `path` lies under `prefix`, at the border of a segment.
fn starts(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || rest.starts_with('?'))
}

/// The latency that a service's urgent answers keep, for 95 in 100.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The time to the first token.
    #[serde(default, with = "value::maybe_span")]
    pub first_token: Option<Duration>,
    /// The time between two tokens.
    #[serde(default, with = "value::maybe_span")]
    pub between_tokens: Option<Duration>,
    /// The time to a plain service's whole answer.
    #[serde(default, with = "value::maybe_span")]
    pub answer: Option<Duration>,
}

/// How failed attempts of repeatable requests are repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Retries allowed for each first attempt, over time.
    pub budget: f64,
    /// Attempts of one request, the first included.
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
