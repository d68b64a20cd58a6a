//! The thread that carries the fault plan out.

use core::time::Duration;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Instant;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;

use super::Sender;
use super::worker::Item;
use super::worker::Poison;
use super::worker::Task;
use crate::Error;
use crate::Plan;
use crate::check::Departure;
use crate::fault::Action;
use crate::fault::Schedule;
use crate::ledger::Source;

/// For how long after its notice an endpoint may still get work: the few seconds that the system promises.
const SETTLING: Duration = Duration::from_secs(3);

/// Places of poisonous requests in the run, far above those of the load.
const POISON_INDEX: u64 = 1 << 40;
const POISON_STRIDE: u64 = 1 << 8;

/// A fault as it was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// When, in milliseconds since the run's start.
    pub at_ms: u64,
    /// What was done.
    pub what: String,
    /// Why it could not be done, when it could not.
    pub failed: Option<String>,
}

/// What the fault thread did and saw.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) events: Vec<Event>,
    pub(crate) departures: Vec<Departure>,
    pub(crate) poisonous: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Begin,
    /// The endpoints that leave must get no more work.
    Settle,
    End,
}

pub(super) fn spawn(
    plan: &Arc<Plan>,
    source: &Arc<dyn Source>,
    start: Instant,
    worker: Sender,
) -> Result<JoinHandle<Log>, Error> {
    let mut crew = Crew {
        plan: Arc::clone(plan),
        source: Arc::clone(source),
        start,
        worker,
        leaving: vec![Vec::new(); plan.faults.steps().len()],
        log: Log::default(),
    };
    super::thread("load-fault-plan".to_owned(), move || {
        for (at, phase, place) in agenda(&crew.plan.faults) {
            thread::sleep((start + at).saturating_duration_since(Instant::now()));
            crew.act(phase, place);
        }
        crew.log
    })
}

/// Returns what is to be done with which step of the schedule, in the order of the times.
fn agenda(schedule: &Schedule) -> Vec<(Duration, Phase, usize)> {
    let mut agenda = Vec::new();
    for (place, step) in schedule.steps().iter().enumerate() {
        agenda.push((step.at, Phase::Begin, place));
        if let Action::Reclaim { notice, .. } = &step.action {
            agenda.push((step.at + SETTLING.min(*notice), Phase::Settle, place));
        }
        if let Some(span) = step.action.span() {
            agenda.push((step.at + span, Phase::End, place));
        }
    }
    agenda.sort();
    agenda
}

struct Crew {
    plan: Arc<Plan>,
    source: Arc<dyn Source>,
    start: Instant,
    worker: Sender,
    /// The endpoints that leave because of each step.
    leaving: Vec<Vec<name::Vm>>,
    log: Log,
}

impl Crew {
    fn act(&mut self, phase: Phase, place: usize) {
        let action = self.plan.faults.steps()[place].action.clone();
        let failed = match phase {
            Phase::Begin => self.begin(place, &action),
            Phase::Settle => self.settle(place),
            Phase::End => self.target(|target| target.end(&action)),
        };
        self.log.events.push(Event {
            at_ms: self.start.elapsed().as_millis() as u64,
            what: format!("{phase:?} {action:?}"),
            failed: failed.err(),
        });
    }

    fn begin(&mut self, place: usize, action: &Action) -> Result<(), String> {
        self.leaving[place] = self.target(|target| target.begin(action))?;
        if let Action::Poison {
            path,
            model,
            marker,
            sends,
        } = action
        {
            let poison = Poison {
                path: path.clone(),
                model: model.clone(),
                marker: marker.clone(),
                sends: *sends,
            };
            let index = POISON_INDEX + place as u64 * POISON_STRIDE;
            let due = Instant::now();
            let task = Task::Poison(poison);
            self.worker
                .send(Item { index, due, task })
                .or(Err("the worker is gone".to_owned()))?;
            self.log.poisonous += u64::from(*sends);
        }
        Ok(())
    }

    /// Writes down how far the ledgers of the leaving endpoints are.
    fn settle(&mut self, place: usize) -> Result<(), String> {
        let books = self.source.books().map_err(|cause| cause.to_string())?;
        let leaving = books.iter().filter(|book| self.leaving[place].contains(&book.endpoint));
        self.log.departures.extend(leaving.map(|book| Departure {
            endpoint: book.endpoint.clone(),
            settled: book.runs.len(),
        }));
        Ok(())
    }

    fn target<T>(
        &self,
        act: impl FnOnce(&dyn crate::fault::Target) -> Result<T, crate::fault::Error>,
    ) -> Result<T, String> {
        let target = self.plan.target.as_deref().ok_or("nothing carries faults out")?;
        act(target).map_err(|cause| cause.to_string())
    }
}
