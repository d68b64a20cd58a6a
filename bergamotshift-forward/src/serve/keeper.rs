//! Asks the entry that keeps the zone, and tells it what work is under way.

use core::net::SocketAddr;
use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::prelude::*;
use ntex::http::StatusCode;
use slog::info;
use tokio::time::timeout;

use super::Forwarder;
use crate::exchange;
use crate::limits::Keeper;
use crate::limits::Refused;
use crate::limits::keeper;
use crate::limits::keeper::Answer;
use crate::limits::keeper::Generation;
use crate::limits::keeper::Placement;
use crate::limits::keeper::Question;
use crate::limits::keeper::Units;
use crate::observe::Topic;
use crate::peers;

/// When a caller may come back while neither the keeper nor its deputy is reached.
const UNREACHED: Duration = Duration::from_millis(500);

/// How long a request waits for somebody to decide; a caller that is told to come back does so after more than that.
const WAIT: Duration = Duration::from_millis(300);

/// The time between two such tries.
const LOOK: Duration = Duration::from_millis(20);

/// How long changes of the work under way are gathered before the keeper is told. Engines read some thousand tokens in
/// this time, a fraction of a prompt, and where requests are many the next question tells it anyway.
const GATHER: Duration = Duration::from_millis(60);

/// A keeper that did not answer, and until when it is left alone.
pub(super) type Away = Option<(SocketAddr, Instant)>;

/// Why a keeper decided nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missed {
    /// It did not answer.
    Unreached,
    /// It answered that it is not the keeper.
    Disagrees,
}

impl Forwarder {
    /// Asks the keeper, or its deputy when it is not reached, for units and for an endpoint.
    ///
    /// Failure: a process starts and has callers before it has heard who keeps its zone, or asks one that does not know yet
    /// that it does. Symptom: they are refused, and come back after their objective. All entries that start at once hear
    /// each other within some hundred milliseconds, so a request that has a limit waits for that long.
    ///
    /// # Errors
    ///
    /// Returns when there is room for the units, or when to ask again if nobody was reached.
    pub(super) async fn ask_keeper(
        &self,
        units: Option<Units>,
        generation: Option<Generation>,
    ) -> Result<Option<Placement>, Refused> {
        if units.is_none() && generation.is_none() {
            return Ok(None);
        }
        let mut question = self.question(units, generation);
        let began = self.shared.clock.now();
        loop {
            if let Some(answer) = self.ask_once(&mut question).await {
                return match answer.retry_after_ms {
                    Some(millis) => Err(Refused {
                        retry_after: Duration::from_millis(millis),
                    }),
                    None => Ok(answer.placement),
                };
            }
            if question.units.is_none() {
                // Without a limit the request may go on; this entry chooses for itself.
                return Ok(None);
            }
            if self.shared.clock.now().since(began) >= WAIT {
                self.take_back(question.units.as_ref());
                return Err(Refused { retry_after: UNREACHED });
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Keeps what this entry let in by itself for the next question, since nobody heard it.
    fn take_back(&self, units: Option<&Units>) {
        let view = self.shared.view.load();
        let accounts = units.and_then(|units| Some((view.accounts.get(&units.organisation)?, units.unreported)));
        if let Some((accounts, before)) = accounts {
            accounts.own.restore_unreported(before);
        }
    }

    /// Asks whoever keeps the zone by now; `None` when nobody decides.
    async fn ask_once(&self, question: &mut Question) -> Option<Answer> {
        let view = self.shared.view.load_full();
        match view.keepers.keeper {
            Keeper::Own => return Some(peers::keep::decide(&self.permits, &view, question).await),
            Keeper::Other(address) if !self.is_away(address) => {
                question.deputy = false;
                match self.ask(address, question).await {
                    Ok(answer) => return Some(answer),
                    Err(Missed::Unreached) => self.note_away(address),
                    Err(Missed::Disagrees) => {}
                }
            }
            Keeper::Other(_) | Keeper::Nobody | Keeper::Unknown => {}
        }
        question.deputy = true;
        self.ask(view.keepers.deputy?, question).await.ok()
    }

    /// Tells the keeper what work is under way, soon after it changed, for as long as the process lives.
    pub async fn report_in_flight(self: Rc<Self>) {
        loop {
            self.shared.in_flight_changed.notified().await;
            let changed = self.shared.clock.now();
            tokio::time::sleep(GATHER).await;
            // A question that was asked meanwhile told it.
            if self.told.get() > changed {
                continue;
            }
            let keeping = self.shared.view.load().keepers;
            let Keeper::Other(address) = keeping.keeper else {
                continue;
            };
            if self.is_away(address) {
                continue;
            }
            let question = self.question(None, None);
            // What was not told now is told with the next question.
            let _ = self.ask(address, &question).await;
        }
    }

    /// Returns a question to the keeper, which tells it what work is under way by now.
    fn question(&self, units: Option<Units>, generation: Option<Generation>) -> Question {
        Question {
            entry: self.shared.settings.name.clone(),
            deputy: false,
            units,
            generation,
            in_flight: self.flown(),
        }
    }

    /// Returns this entry's own work under way.
    fn flown(&self) -> Vec<peers::InFlight> {
        let view = self.shared.view.load();
        let flown = view.by_hash.values().map(|endpoint| endpoint.in_flight(false));
        flown.filter(|flown| flown.running > 0).collect()
    }

    async fn ask(&self, address: SocketAddr, question: &Question) -> Result<Answer, Missed> {
        self.told.set(self.shared.clock.now());
        let asked = timeout(keeper::ANSWER_TIMEOUT, self.exchange(address, question)).await;
        asked.unwrap_or(Err(Missed::Unreached))
    }

    async fn exchange(&self, address: SocketAddr, question: &Question) -> Result<Answer, Missed> {
        let question = postcard::to_stdvec(question).or(Err(Missed::Disagrees))?;
        let clock = self.shared.clock;
        let asked = exchange::call_pooled(
            &self.pool,
            clock,
            address,
            keeper::ANSWER_TIMEOUT,
            peers::KEEP_PATH,
            &question,
        );
        let answer = asked.await.or(Err(Missed::Unreached))?;
        if answer.status != StatusCode::OK {
            return Err(Missed::Disagrees);
        }
        postcard::from_bytes(&answer.body).or(Err(Missed::Disagrees))
    }

    fn is_away(&self, address: SocketAddr) -> bool {
        let now = self.shared.clock.now();
        self.away
            .get()
            .is_some_and(|(away, until)| away == address && now < until)
    }

    /// Notes that a keeper did not answer, so that the next requests do not wait for it too.
    fn note_away(&self, address: SocketAddr) {
        let now = self.shared.clock.now();
        self.away.set(Some((address, now + keeper::BACKOFF)));
        self.shared.metrics.keeper_unanswered.inc();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::State) {
            info!(logger, "keeper not reached"; "keeper" => %address,
                "pause_ms" => keeper::BACKOFF.as_millis() as u64, "left_out" => left_out);
        }
    }
}
