//! Asks the keeper of the zone for decisions, and reports in-flight requests to it.

use core::net::SocketAddr;
use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::precedence::Kind;
use ntex::http::StatusCode;
use slog::info;
use tokio::time::timeout;

use super::Forwarder;
use crate::exchange;
use crate::limits::Keeper;
use crate::limits::Refused;
use crate::limits::keeper;
use crate::limits::keeper::Answer;
use crate::limits::keeper::Context;
use crate::limits::keeper::Generation;
use crate::limits::keeper::Question;
use crate::limits::keeper::Units;
use crate::limits::shortage::Terms;
use crate::observe::Topic;
use crate::peers;

/// Retry time for callers while neither the keeper nor its deputy can be reached.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum time that a request waits for a decision; shorter than the retry time that a refused caller gets.
const DECISION_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between attempts to get a decision.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which changes of in-flight requests are collected before they are reported to the keeper. Engines read a
/// few thousand tokens in this time, a fraction of a prompt. Under a high rate of requests, the next question reports
/// the changes anyway.
const REPORT_DELAY: Duration = Duration::from_millis(60);

/// Keeper that did not answer, and the time until which it is not asked.
pub(super) type Backoff = Option<(SocketAddr, Instant)>;

/// Error of a question to a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Error {
    /// The keeper did not answer, for this reason.
    Unreachable(String),
    /// The answer contains no decision, such as that of an entry which is not the keeper.
    NoDecision(String),
}

impl Forwarder {
    /// Asks the keeper, or its deputy if the keeper cannot be reached, for units and for an endpoint.
    ///
    /// An entry that starts may have callers before it knows the keeper of its zone, and may ask one that does not know
    /// yet that it is the keeper. Without a wait, these callers would be refused and would retry only after their
    /// objective. Entries that start at the same time discover each other within some hundred milliseconds, so a
    /// request that has a limit waits for that long.
    ///
    /// # Errors
    ///
    /// Returns the time until units are available, or the retry time if neither could be reached.
    pub(super) async fn ask_keeper(
        &self,
        units: Option<Units>,
        generation: Option<Generation>,
        terms: Option<Terms>,
        kind: Kind,
    ) -> Result<Answer, Refused> {
        if units.is_none() && generation.is_none() {
            return Ok(Answer::default());
        }
        let mut question = self.question(units, generation);
        question.context.terms = terms.filter(|_| question.generation.is_some());
        question.context.is_resumed = kind == Kind::Resumed;
        let began = self.shared.clock.now();
        loop {
            if let Some(answer) = self.ask_once(&mut question).await {
                return match answer.retry_after_ms {
                    Some(millis) => Err(Refused {
                        retry_after: Duration::from_millis(millis),
                    }),
                    None => Ok(answer),
                };
            }
            if question.units.is_none() {
                // Without a limit, this entry chooses an endpoint itself.
                return Ok(Answer::default());
            }
            if self.shared.clock.now().since(began) >= DECISION_TIMEOUT {
                self.restore_unreported(question.units.as_ref());
                return Err(Refused {
                    retry_after: RETRY_AFTER,
                });
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Restores the units that were not reported to a keeper, so that the next question reports them.
    fn restore_unreported(&self, units: Option<&Units>) {
        let view = self.shared.view.load();
        let accounts = units.and_then(|units| Some((view.accounts.get(&units.organisation)?, units.unreported)));
        if let Some((accounts, unreported)) = accounts {
            accounts.own.restore_unreported(unreported);
        }
    }

    /// Asks the current keeper or its deputy; returns `None` without a decision.
    async fn ask_once(&self, question: &mut Question) -> Option<Answer> {
        let view = self.shared.view.load_full();
        match view.keepers.keeper {
            Keeper::Own => return Some(peers::keep::decide(&self.permits, &view, question).await),
            Keeper::Other(address) if !self.is_backing_off(address) => {
                question.deputy = false;
                match self.ask(address, question).await {
                    Ok(answer) => return Some(answer),
                    Err(Error::Unreachable(cause)) => self.record_unreachable(address, &cause),
                    Err(Error::NoDecision(cause)) => self.log_undecided(address, &cause),
                }
            }
            Keeper::Other(_) | Keeper::Nobody | Keeper::Unknown => {}
        }
        question.deputy = true;
        let deputy = view.keepers.deputy?;
        match self.ask(deputy, question).await {
            Ok(answer) => Some(answer),
            Err(Error::Unreachable(cause) | Error::NoDecision(cause)) => {
                self.log_undecided(deputy, &cause);
                None
            }
        }
    }

    /// Reports the in-flight requests to the keeper shortly after they change, for the lifetime of the process.
    pub async fn report_in_flight(self: Rc<Self>) {
        loop {
            self.shared.in_flight_changed.notified().await;
            let changed = self.shared.clock.now();
            tokio::time::sleep(REPORT_DELAY).await;
            // A question in the meantime has reported the change.
            if self.last_report.get() > changed {
                continue;
            }
            let keepers = self.shared.view.load().keepers;
            let Keeper::Other(address) = keepers.keeper else {
                continue;
            };
            if self.is_backing_off(address) {
                continue;
            }
            let question = self.question(None, None);
            // If this report fails, the next question contains the same information.
            if let Err(Error::Unreachable(cause) | Error::NoDecision(cause)) = self.ask(address, &question).await {
                self.log_undecided(address, &cause);
            }
        }
    }

    /// Returns a question to the keeper, including the requests that are in flight now.
    fn question(&self, units: Option<Units>, generation: Option<Generation>) -> Question {
        Question {
            entry: self.shared.settings.name.clone(),
            deputy: false,
            units,
            generation,
            in_flight: self.in_flight(),
            context: Context {
                samples: self.samples.take(self.shared.clock.now()),
                ..Context::default()
            },
        }
    }

    /// Returns the requests that this entry itself has in flight, by endpoint.
    fn in_flight(&self) -> Vec<peers::InFlight> {
        let view = self.shared.view.load();
        let in_flight = view.by_hash.values().map(|endpoint| endpoint.in_flight(false));
        in_flight.filter(|in_flight| in_flight.running > 0).collect()
    }

    /// Sends a question, and waits for the answer at most [`keeper::ANSWER_TIMEOUT`].
    async fn ask(&self, address: SocketAddr, question: &Question) -> Result<Answer, Error> {
        self.last_report.set(self.shared.clock.now());
        let asked = timeout(keeper::ANSWER_TIMEOUT, self.call(address, question)).await;
        asked.unwrap_or_else(|_| Err(Error::Unreachable("no answer in time".to_owned())))
    }

    /// Sends a question and decodes the answer.
    async fn call(&self, address: SocketAddr, question: &Question) -> Result<Answer, Error> {
        let no_decision = |error: postcard::Error| Error::NoDecision(error.to_string());
        let question = postcard::to_stdvec(question).map_err(no_decision)?;
        let clock = self.shared.clock;
        let asked = exchange::call_pooled(
            &self.pool,
            clock,
            address,
            keeper::ANSWER_TIMEOUT,
            peers::KEEP_PATH,
            &question,
        );
        let unreachable = |failure: exchange::Failure| Error::Unreachable(failure.to_string());
        let answer = asked.await.map_err(unreachable)?;
        if answer.status != StatusCode::OK {
            return Err(Error::NoDecision(format!("status {}", answer.status.as_u16())));
        }
        postcard::from_bytes(&answer.body).map_err(no_decision)
    }

    /// Returns whether a keeper recently did not answer and is not asked for now.
    fn is_backing_off(&self, address: SocketAddr) -> bool {
        let now = self.shared.clock.now();
        self.keeper_backoff
            .get()
            .is_some_and(|(keeper, until)| keeper == address && now < until)
    }

    /// Records that a keeper did not answer, so that the next requests do not wait for it too.
    fn record_unreachable(&self, address: SocketAddr, cause: &str) {
        let now = self.shared.clock.now();
        self.keeper_backoff.set(Some((address, now + keeper::BACKOFF)));
        self.shared.metrics.keeper_unanswered.inc();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::State) {
            info!(logger, "keeper not reached"; "keeper" => %address, "cause" => cause,
                "pause_ms" => keeper::BACKOFF.as_millis() as u64, "left_out" => left_out);
        }
    }

    /// Logs that a keeper or a deputy gave no decision.
    fn log_undecided(&self, address: SocketAddr, cause: &str) {
        if let Some((logger, left_out)) = self.shared.log.rate_limited(self.shared.clock.now(), Topic::Peers) {
            info!(logger, "keeper gave no decision"; "keeper" => %address, "cause" => cause, "left_out" => left_out);
        }
    }
}
