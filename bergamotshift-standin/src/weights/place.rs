//! The store's rate limit and its answers.

use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;

use super::Settings;
use crate::fault::Plan;
use crate::host;
use crate::host::Answer;
use crate::host::Call;
use crate::host::Site;

/// The weight store behind its HTTP interface.
#[derive(Debug)]
pub(super) struct Place {
    settings: Settings,
    /// When the loads given out count as refilled.
    given: Mutex<Vec<Instant>>,
}

#[derive(Deserialize)]
struct Spec {
    model: SmolStr,
    version: SmolStr,
}

impl Place {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            given: Mutex::default(),
        }
    }

    fn ticket(&self, spec: &Spec) -> Response {
        let Some(bytes) = self.settings.models.get(&spec.model) else {
            return host::error(StatusCode::NOT_FOUND, "not-found", "there is no such model");
        };
        if let Err(wait) = self.take(Instant::now()) {
            return throttled(wait);
        }
        let seconds = *bytes as f64 / self.settings.bytes_per_second.max(1) as f64;
        host::json(&json!({
            "url": format!("weights://{}/{}", spec.model, spec.version),
            "bytes": bytes,
            "estimate_ms": (seconds * 1000.0).ceil() as u64,
        }))
    }

    /// Takes one load, or returns how long until there is one.
    fn take(&self, now: Instant) -> Result<(), Duration> {
        let mut given = self.given.lock().unwrap_or_else(PoisonError::into_inner);
        given.retain(|refilled| *refilled > now);
        if given.len() < self.settings.burst as usize {
            // Loads refill one after the other.
            let last = given.last().copied().unwrap_or(now);
            given.push(last + self.settings.refill);
            return Ok(());
        }
        Err(given
            .first()
            .map_or(self.settings.refill, |refilled| refilled.duration_since(now)))
    }
}

fn throttled(wait: Duration) -> Response {
    let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
    let mut response = host::error(
        StatusCode::TOO_MANY_REQUESTS,
        "throttled",
        "the store's rate is used up",
    );
    response
        .headers_mut()
        .insert(ntex::http::header::RETRY_AFTER, seconds.into());
    response
}

impl Site for Place {
    fn kind(&self, call: &Call) -> String {
        format!("{} {}", call.method, call.path)
    }

    fn answer(self: Arc<Self>, call: Call, _plan: Plan) -> Answer {
        Box::pin(async move {
            match (&call.method, call.path.as_str()) {
                (&Method::POST, "/tickets") => match call.parse() {
                    Ok(spec) => self.ticket(&spec),
                    Err(response) => response,
                },
                _ => host::error(StatusCode::NOT_FOUND, "not-found", "no such resource"),
            }
        })
    }

    fn refuse(&self) -> Response {
        throttled(self.settings.refill)
    }
}
