//! Asks the entry that keeps the zone, and tells it what work is under way.

use core::net::SocketAddr;
use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use ntex::http::StatusCode;
use slog::info;
use tokio::time::timeout;

use super::Forwarder;
use crate::exchange;
use crate::exchange::Connection;
use crate::limits::Keeper;
use crate::limits::Keeping;
use crate::limits::Refused;
use crate::limits::keeper;
use crate::limits::keeper::Answer;
use crate::limits::keeper::Generation;
use crate::limits::keeper::Placement;
use crate::limits::keeper::Question;
use crate::limits::keeper::Units;
use crate::observe::Topic;
use crate::peers;
use crate::view::View;

/// When a caller may come back while neither the keeper nor its deputy is reached.
const UNREACHED: Duration = Duration::from_millis(500);

/// How long a request waits for the keeper to be known; a caller that is told to come back does so after more than that.
const WAIT: Duration = Duration::from_millis(300);

/// The time between two looks for the keeper.
const LOOK: Duration = Duration::from_millis(20);

/// How long changes of the work under way are gathered before the keeper is told. Engines read some thousand tokens in
/// this time, a fraction of a prompt.
const GATHER: Duration = Duration::from_millis(30);

/// A keeper that did not answer, and until when it is left alone.
pub(super) type Away = Option<(SocketAddr, Instant)>;

impl Forwarder {
    /// Asks the keeper, or its deputy when it is not reached, for units and for an endpoint.
    ///
    /// # Errors
    ///
    /// Returns when there is room for the units, or when to ask again if nobody was reached.
    pub(super) async fn ask_keeper(
        &self,
        keeping: Keeping,
        units: Option<Units>,
        generation: Option<Generation>,
    ) -> Result<Option<Placement>, Refused> {
        if units.is_none() && generation.is_none() {
            return Ok(None);
        }
        let is_limited = units.is_some();
        let mut question = Question {
            entry: self.shared.settings.name.clone(),
            deputy: false,
            units,
            generation,
            flown: self.flown(),
        };
        let mut answer = None;
        if let Keeper::Other(address) = keeping.keeper
            && !self.is_away(address)
        {
            answer = self.ask(address, &question).await;
            if answer.is_none() {
                self.note_away(address);
            }
        }
        if answer.is_none()
            && let Some(address) = keeping.deputy
        {
            question.deputy = true;
            answer = self.ask(address, &question).await;
        }
        match answer {
            Some(Answer {
                retry_after_ms: Some(millis),
                ..
            }) => Err(Refused {
                retry_after: Duration::from_millis(millis),
            }),
            Some(answer) => Ok(answer.placement),
            // Without a limit the request may go on; this entry chooses for itself.
            None if !is_limited => Ok(None),
            None => Err(Refused { retry_after: UNREACHED }),
        }
    }

    /// Waits a little for the keeper of the zone to be known.
    ///
    /// Failure: a process starts and has callers before it has heard who keeps its zone. Symptom: they are refused, and come
    /// back after their objective. All entries that start at once hear each other within some hundred milliseconds.
    pub(super) async fn known(&self, view: Arc<View>) -> Arc<View> {
        let began = self.shared.clock.now();
        let mut view = view;
        while view.keeping.keeper == Keeper::Unknown && self.shared.clock.now().since(began) < WAIT {
            tokio::time::sleep(LOOK).await;
            view = self.shared.view.load_full();
        }
        view
    }

    /// Tells the keeper what work is under way, soon after it changed, for as long as the process lives.
    pub async fn tell(self: Rc<Self>) {
        loop {
            self.shared.flown.notified().await;
            tokio::time::sleep(GATHER).await;
            let keeping = self.shared.view.load().keeping;
            let Keeper::Other(address) = keeping.keeper else {
                continue;
            };
            if self.is_away(address) {
                continue;
            }
            let question = Question {
                entry: self.shared.settings.name.clone(),
                deputy: false,
                units: None,
                generation: None,
                flown: self.flown(),
            };
            // What was not told now is told with the next question.
            let _ = self.ask(address, &question).await;
        }
    }

    /// Returns this entry's own work under way.
    fn flown(&self) -> Vec<peers::Flown> {
        let view = self.shared.view.load();
        let endpoints = view.services.values().flat_map(|service| service.endpoints.iter());
        let flown = endpoints.map(|endpoint| endpoint.flown(false));
        flown.filter(|flown| flown.running > 0).collect()
    }

    async fn ask(&self, address: SocketAddr, question: &Question) -> Option<Answer> {
        timeout(keeper::PATIENCE, self.exchange(address, question)).await.ok()?
    }

    async fn exchange(&self, address: SocketAddr, question: &Question) -> Option<Answer> {
        let question = postcard::to_stdvec(question).ok()?;
        let idle = self.pool.borrow_mut().take(self.shared.clock.now(), address);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, keeper::PATIENCE).await.ok()?,
        };
        let call = exchange::call(&mut connection, address, peers::KEEP, &question);
        let answer = call.await.ok()?;
        let now = self.shared.clock.now();
        self.pool.borrow_mut().put(now, address, connection, &answer.headers);
        (answer.status == StatusCode::OK).then(|| postcard::from_bytes(&answer.body).ok())?
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
        self.away.set(Some((address, now + keeper::PAUSE)));
        if let Some((logger, left_out)) = self.shared.log.room(now, Topic::Belief) {
            info!(logger, "keeper not reached"; "keeper" => %address,
                "pause_ms" => keeper::PAUSE.as_millis() as u64, "left_out" => left_out);
        }
    }
}
