//! Callers that behave as clients of the product do.
//!
//! A caller whose connection breaks asks another entry under the same key, and a broken stream is taken up again with
//! `Last-Event-ID`. A refusal is final once its `Retry-After` was followed often enough; a request that was accepted
//! is asked for until the caller's patience ends.

mod exchange;
mod http;
mod job;
mod stream;
#[cfg(test)]
mod tests;
mod whole;

use core::net::SocketAddr;
use core::time::Duration;
use std::rc::Rc;
use std::time::Instant;

use futures_util::future::join_all;

use crate::check;
use crate::ledger::Fate;
use crate::ledger::Record;
use crate::work::Kind;
use crate::work::Request;

pub(crate) use exchange::Exchange;
pub(crate) use http::Http;

/// How a caller behaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Manners {
    /// How long it keeps coming back for one request.
    pub(crate) patience: Duration,
    /// How long a stream may stay silent.
    pub(crate) silence: Duration,
    /// How often it follows a refusal's `Retry-After`.
    pub(crate) returns: u32,
}

/// Sends requests from one thread.
#[derive(Debug)]
pub(crate) struct Caller {
    http: Http,
    entries: Rc<[SocketAddr]>,
    manners: Manners,
}

/// The times of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// The start of the run.
    pub(crate) start: Instant,
    /// When the request was due.
    pub(crate) due: Instant,
}

impl Caller {
    pub(crate) fn new(http: Http, entries: Rc<[SocketAddr]>, manners: Manners) -> Self {
        Self { http, entries, manners }
    }

    /// Sends a request, follows it to its end, and hands each gap between two tokens to `gap`.
    pub(crate) async fn perform(&self, request: &Request, timing: Timing, gap: &impl Fn(Duration)) -> Record {
        let lag = timing.due.elapsed();
        let exchanges = join_all((0..u64::from(request.sends)).map(|send| async move {
            let first = request.index.wrapping_add(send);
            match request.kind {
                Kind::ChatStream | Kind::CompletionStream => self.stream(request, first, gap).await,
                Kind::Job => self.job(request, first).await,
                Kind::Chat | Kind::Completion | Kind::Get | Kind::Post | Kind::Once => self.whole(request, first).await,
            }
        }))
        .await;
        let mut record = judge(request, exchanges, timing.due);
        record.due_us = micros(timing.due.saturating_duration_since(timing.start));
        record.lag_us = micros(lag);
        record.latency_us = micros(timing.due.elapsed());
        record
    }

    /// Returns the entry that is asked at the `place`th try.
    fn entry(&self, place: u64) -> SocketAddr {
        self.entries[(place % self.entries.len() as u64) as usize]
    }
}

/// Turns the exchanges of one request into its record.
fn judge(request: &Request, exchanges: Vec<Exchange>, due: Instant) -> Record {
    let mut record = Record {
        index: request.index,
        kind: request.kind,
        key: request.key.clone(),
        ..Record::default()
    };
    let mut fates = Vec::new();
    let mut answers = Vec::new();
    for exchange in exchanges {
        record.accepted |= exchange.accepted;
        record.tokens = record.tokens.max(exchange.tokens);
        record.first_token_us = record.first_token_us.or(exchange
            .first_token
            .map(|first| micros(first.saturating_duration_since(due))));
        record.sendings.extend(exchange.sendings);
        let (fate, detail) = match (exchange.fate, check_answer(request, &exchange.answer)) {
            (Fate::Whole, Err(detail)) => (Fate::Wrong, detail),
            (fate, _) => (fate, exchange.detail),
        };
        if fate == Fate::Whole {
            answers.push(exchange.answer);
        }
        fates.push((fate, detail));
    }
    // All sendings of one key get one answer: two whole answers that differ come from two runs.
    if answers.windows(2).any(|pair| pair[0] != pair[1]) {
        fates.push((
            Fate::Wrong,
            "two sendings under one key got different answers".to_owned(),
        ));
    }
    // The worst counts, but a refused sibling of a whole answer is no failure.
    let whole = fates.iter().any(|(fate, _)| *fate == Fate::Whole);
    let severity = |fate: Fate| match fate {
        Fate::Wrong => 5,
        Fate::Cut => 4,
        Fate::Lost => 3,
        Fate::Whole => 2,
        Fate::Refused => 1,
        Fate::Unreachable => 0,
    };
    if let Some((fate, detail)) = fates.into_iter().max_by_key(|(fate, _)| severity(*fate)) {
        record.fate = fate;
        record.detail = if whole && fate == Fate::Whole {
            String::new()
        } else {
            detail
        };
    }
    record
}

fn check_answer(request: &Request, answer: &[u8]) -> Result<(), String> {
    if request.kind.is_model() {
        let text = core::str::from_utf8(answer).map_err(|cause| cause.to_string())?;
        return check::content(request, text);
    }
    check::echo(request, answer)
}

fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}
