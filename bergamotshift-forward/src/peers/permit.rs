//! Permits for rate-limited endpoints: acquires them from the entry that grants them, and answers other entries'
//! requests.

use core::cell::RefCell;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use tokio::time::timeout;

use super::message::Rate;
use super::question::read_body;
use crate::endpoint::Endpoint;
use crate::exchange;
use crate::exchange::Pool;
use crate::limits::granter;
use crate::observe::Topic;
use crate::view::Origin;
use crate::view::Shared;

/// Path of requests for a permit.
pub const PATH: &str = "/permit";

/// Maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: usize = 256;

/// Minimum time for which an endpoint gets no requests after a permit for it was refused.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// A request for a permit, made before a request is sent to a rate-limited endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Question {
    /// The requesting entry.
    entry: name::Entry,
    /// The rate limit as the requesting entry knows it.
    rate: Rate,
    /// The number of permits that the request consumes.
    cost: u64,
}

/// The granting entry's decision.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Verdict {
    /// The rate limit as the granting entry knows it.
    rate: Rate,
    /// The time until a permit is available, in milliseconds; `None` when one was granted.
    wait_ms: Option<u64>,
}

/// Acquires permits for one thread.
#[derive(Debug)]
pub struct Permits {
    shared: Arc<Shared>,
    pool: RefCell<Pool>,
    /// The end of the backoff of each entry that did not reply recently.
    backoffs: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Permits {
    /// Creates the state of the current thread.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            pool: RefCell::default(),
            backoffs: RefCell::default(),
        }
    }

    /// Returns the state that all threads share.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Acquires a permit to send a request to an endpoint, and returns whether it was granted. After a refusal the
    /// endpoint gets no requests until one can be granted. Endpoints without a rate limit need no permit.
    pub async fn acquire(&self, endpoint: &Endpoint, request: &str) -> bool {
        let Some(rate) = endpoint.signals.throttle.rate() else {
            return true;
        };
        let granters = Arc::clone(&self.shared.view.load().granters);
        let ranked: [_; 2] = granter::top(endpoint.hash, &granters);
        let ranked = ranked.into_iter().flatten();
        for (candidate, cost) in ranked.zip([1, throttle::DEPUTY_COST]) {
            let verdict = match candidate.address {
                None => Some(grant(self.shared.clock.now(), endpoint, cost)),
                Some(address) => self.request_permit(address, endpoint, cost).await,
            };
            let now = self.shared.clock.now();
            let Some(verdict) = verdict else { continue };
            if let Some(address) = candidate.address {
                let from = address.to_string();
                self.shared
                    .apply_rate(now, endpoint, verdict.rate.received_at(now), Origin::Entry(&from));
            }
            if let Some(millis) = verdict.wait_ms {
                endpoint
                    .signals
                    .throttle
                    .pause(now + Duration::from_millis(millis).max(MIN_PAUSE));
            }
            self.log(endpoint, request, rate, candidate, verdict);
            return verdict.wait_ms.is_none();
        }
        let now = self.shared.clock.now();
        let pause = if granters.is_empty() {
            granter::UNKNOWN_BACKOFF
        } else {
            granter::BACKOFF
        };
        endpoint.signals.throttle.pause(now + pause);
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Limit) {
            info!(logger, "nobody grants a permit"; "request" => request, "rate" => rate,
                "endpoint" => endpoint.registration.id.as_str(), "entries" => granters.len(),
                "pause_ms" => pause.as_millis() as u64, "left_out" => left_out);
        }
        false
    }

    async fn request_permit(&self, address: SocketAddr, endpoint: &Endpoint, cost: u64) -> Option<Verdict> {
        let now = self.shared.clock.now();
        if self.backoffs.borrow().get(&address).is_some_and(|until| now < *until) {
            return None;
        }
        self.pool.borrow_mut().sweep(now, |_| true);
        let rate = Rate::of(endpoint, now);
        let entry = self.shared.settings.name.clone();
        let question = Question { entry, rate, cost };
        let reply = timeout(granter::ANSWER_TIMEOUT, self.exchange(address, &question)).await;
        let verdict = reply.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        let now = self.shared.clock.now();
        let mut backoffs = self.backoffs.borrow_mut();
        if let Err(cause) = &verdict {
            backoffs.insert(address, now + granter::BACKOFF);
            self.shared.metrics.permits_unanswered.inc();
            if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Limit) {
                info!(logger, "permit not answered"; "address" => %address, "cause" => cause,
                    "endpoint" => endpoint.registration.id.as_str(),
                    "pause_ms" => granter::BACKOFF.as_millis() as u64, "left_out" => left_out);
            }
        }
        backoffs.retain(|_, until| now < *until);
        verdict.ok()
    }

    /// Sends a question to another entry.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no verdict.
    async fn exchange(&self, address: SocketAddr, question: &Question) -> Result<Verdict, String> {
        let question = postcard::to_stdvec(question).map_err(|error| error.to_string())?;
        let clock = self.shared.clock;
        let call = exchange::call_pooled(&self.pool, clock, address, granter::ANSWER_TIMEOUT, PATH, &question);
        let answer = call.await.map_err(|failure| failure.to_string())?;
        if answer.status != StatusCode::OK {
            return Err(format!("status {}", answer.status.as_u16()));
        }
        postcard::from_bytes(&answer.body).map_err(|error| error.to_string())
    }

    fn log(&self, endpoint: &Endpoint, request: &str, rate: f64, granter: granter::Candidate, verdict: Verdict) {
        let outcome = if verdict.wait_ms.is_none() {
            "granted"
        } else {
            "refused"
        };
        self.shared.metrics.count_permit(outcome);
        if let Some((logger, left_out)) = self.shared.log.rate_limited(self.shared.clock.now(), Topic::Limit) {
            info!(logger, "permit"; "outcome" => outcome, "request" => request,
                "endpoint" => endpoint.registration.id.as_str(), "rate" => rate,
                "granter" => granter.address.map(|address| address.to_string()),
                "wait_ms" => verdict.wait_ms, "left_out" => left_out);
        }
    }
}

/// Grants a permit for an endpoint, or returns the time until one is available.
fn grant(now: Instant, endpoint: &Endpoint, cost: u64) -> Verdict {
    let granted = endpoint.signals.throttle.grant(now, cost);
    Verdict {
        rate: Rate::of(endpoint, now),
        wait_ms: granted.err().map(|wait| wait.as_millis() as u64 + 1),
    }
}

/// Answers another entry's request for a permit.
pub async fn answer_permit(shared: &Shared, mut request: Request) -> Response {
    let Question { entry, rate, cost } = match read_body::<Question>(&mut request, MAX_BODY_BYTES).await {
        Ok(question) => question,
        Err(status) => return Response::new(status),
    };
    let view = shared.view.load();
    let Some(endpoint) = view.endpoint(rate.endpoint) else {
        return Response::new(StatusCode::CONFLICT);
    };
    let now = shared.clock.now();
    shared.apply_rate(now, endpoint, rate.received_at(now), Origin::Entry(entry.as_str()));
    match postcard::to_stdvec(&grant(now, endpoint, cost)) {
        Ok(bytes) => Response::build(StatusCode::OK).body(bytes),
        Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
