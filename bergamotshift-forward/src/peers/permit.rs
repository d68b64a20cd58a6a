//! Asks the entry that grants requests to an endpoint which names a rate, and answers other entries that ask.

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
use super::question::question;
use crate::endpoint::Endpoint;
use crate::exchange;
use crate::exchange::Pool;
use crate::limits::granter;
use crate::observe::Topic;
use crate::view::Origin;
use crate::view::Shared;

/// The path at which a permit is asked for.
pub const PATH: &str = "/permit";

/// The largest question, in bytes.
const LARGEST: usize = 256;

/// The shortest time for which an endpoint is left alone after a refusal.
const SHORTEST: Duration = Duration::from_millis(5);

/// What an entry asks before it sends a request to an endpoint that names a rate.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Question {
    /// Who asks.
    entry: name::Entry,
    /// The rate as the asking entry knows it.
    rate: Rate,
    /// What the request counts.
    cost: u64,
}

/// What the entry that grants says.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Verdict {
    /// The rate as that entry knows it.
    rate: Rate,
    /// How long until a request can be granted, in milliseconds; `None` when this one is.
    wait_ms: Option<u64>,
}

/// Asks for permits, on one thread.
#[derive(Debug)]
pub struct Permits {
    shared: Arc<Shared>,
    pool: RefCell<Pool>,
    /// Entries that did not answer lately, and until when they are left alone.
    away: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Permits {
    /// Makes the state of the current thread.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            pool: RefCell::default(),
            away: RefCell::default(),
        }
    }

    /// Returns what all threads share.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns whether a request may be sent to an endpoint now; one that may not is left alone until it may.
    pub async fn acquire(&self, endpoint: &Endpoint, request: &str) -> bool {
        let Some(rate) = endpoint.signals.throttle.rate() else {
            return true;
        };
        let granters = Arc::clone(&self.shared.view.load().granters);
        let ranked = granter::top_two(endpoint.hash, &granters).into_iter().flatten();
        for (candidate, cost) in ranked.zip([1, throttle::DEPUTY_COST]) {
            let verdict = match candidate.address {
                None => Some(grant(self.shared.clock.now(), endpoint, cost)),
                Some(address) => self.ask_other(address, endpoint, cost).await,
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
                    .pause(now + Duration::from_millis(millis).max(SHORTEST));
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
        if let Some((logger, left_out)) = self.shared.log.room(now, Topic::Limit) {
            info!(logger, "nobody grants a permit"; "request" => request, "rate" => rate,
                "endpoint" => endpoint.registration.id.as_str(), "entries" => granters.len(),
                "pause_ms" => pause.as_millis() as u64, "left_out" => left_out);
        }
        false
    }

    async fn ask_other(&self, address: SocketAddr, endpoint: &Endpoint, cost: u64) -> Option<Verdict> {
        let now = self.shared.clock.now();
        if self.away.borrow().get(&address).is_some_and(|until| now < *until) {
            return None;
        }
        self.pool.borrow_mut().sweep(now, |_| true);
        let rate = Rate::of(endpoint, now);
        let entry = self.shared.settings.name.clone();
        let question = Question { entry, rate, cost };
        let asked = timeout(granter::ANSWER_TIMEOUT, self.exchange(address, &question)).await;
        let verdict = asked.ok().flatten();
        let now = self.shared.clock.now();
        let mut away = self.away.borrow_mut();
        if verdict.is_none() {
            away.insert(address, now + granter::BACKOFF);
            self.shared.metrics.ungranted.inc();
        }
        away.retain(|_, until| now < *until);
        verdict
    }

    async fn exchange(&self, address: SocketAddr, question: &Question) -> Option<Verdict> {
        let question = postcard::to_stdvec(question).ok()?;
        let clock = self.shared.clock;
        let asked = exchange::ask_pooled(&self.pool, clock, address, granter::ANSWER_TIMEOUT, PATH, &question);
        let answer = asked.await.ok()?;
        (answer.status == StatusCode::OK)
            .then(|| postcard::from_bytes(&answer.body).ok())
            .flatten()
    }

    fn log(&self, endpoint: &Endpoint, request: &str, rate: f64, granter: granter::Candidate, verdict: Verdict) {
        let outcome = if verdict.wait_ms.is_none() {
            "granted"
        } else {
            "refused"
        };
        self.shared.metrics.permits(outcome);
        if let Some((logger, left_out)) = self.shared.log.room(self.shared.clock.now(), Topic::Limit) {
            info!(logger, "permit"; "outcome" => outcome, "request" => request,
                "endpoint" => endpoint.registration.id.as_str(), "rate" => rate,
                "granter" => granter.address.map(|address| address.to_string()),
                "wait_ms" => verdict.wait_ms, "left_out" => left_out);
        }
    }
}

/// Grants a request to an endpoint, or says when one can be granted.
fn grant(now: Instant, endpoint: &Endpoint, cost: u64) -> Verdict {
    let granted = endpoint.signals.throttle.grant(now, cost);
    Verdict {
        rate: Rate::of(endpoint, now),
        wait_ms: granted.err().map(|wait| wait.as_millis() as u64 + 1),
    }
}

/// Answers an entry that asks for a permit.
pub async fn answer_permit(shared: &Shared, mut request: Request) -> Response {
    let Question { entry, rate, cost } = match question::<Question>(&mut request, LARGEST).await {
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
