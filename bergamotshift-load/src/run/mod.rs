//! A run: the pacer hands out requests when they are due, workers send them, and the ledgers are checked at the end.

mod faults;
mod pacer;
mod worker;

use std::sync::Arc;
use std::thread;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use smol_str::SmolStr;
use smol_str::ToSmolStr;
use tokio::sync::mpsc;

use crate::Error;
use crate::Plan;
use crate::Report;
use crate::ledger;
use crate::plan::Share;
use crate::progress;
use crate::report;
use crate::work::Kind;
use worker::Item;

pub use faults::Event;
pub(crate) use faults::Log;
pub(crate) use worker::Tally;

type Sender = mpsc::UnboundedSender<Item>;

/// Runs a plan to its end and returns what came of it; blocks the calling thread.
///
/// The load runs on threads of its own, so the caller may live on any runtime or none.
///
/// # Errors
///
/// Returns what is wrong with the plan, or what kept the generator itself from running. A broken promise of the
/// system under load is no error: [`Report::passed`] tells.
pub fn run(plan: Plan) -> Result<Report, Error> {
    plan.validate()?;
    let plan = Arc::new(labelled(plan));
    let source = plan
        .ledgers
        .clone()
        .unwrap_or_else(|| Arc::new(ledger::Remote::new(plan.endpoints.clone())));
    let counters = Arc::new(progress::Counters::default());
    let start = Instant::now();

    let mut senders = Vec::with_capacity(plan.threads);
    let mut workers = Vec::with_capacity(plan.threads);
    for number in 0..plan.threads {
        let (sender, items) = mpsc::unbounded_channel();
        senders.push(sender);
        workers.push(worker::spawn(number, &plan, &counters, start, items)?);
    }
    let faults = faults::spawn(&plan, &source, start, senders[0].clone())?;
    let ticker = plan
        .progress
        .then(|| progress::Ticker::start(&counters, start))
        .transpose()?;

    let due = pacer::pace(&plan, start, &senders);
    drop(senders);
    let mut tally = Tally::default();
    for worker in workers {
        tally.merge(join(worker)?);
    }
    let log = join(faults)?;
    if let Some(ticker) = ticker {
        ticker.stop();
    }
    if tally.records.len() as u64 != due + log.poisonous {
        return Err(panicked());
    }
    tally.records.sort_by_key(|record| record.index);
    let books = source.books()?;
    Ok(report::assemble(&plan, &tally, log, &books, start.elapsed()))
}

/// Runs a future on a runtime of the calling thread's own.
pub(crate) fn block_on<F>(name: &str, future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    let system = ntex::rt::System::build()
        .name(name)
        .disable_signals()
        .build(ntex::rt::DefaultRuntime);
    system.block_on(future)
}

/// Returns the share that direct calls are drawn from.
fn direct_share(plan: &Plan) -> Option<&Share> {
    let share = plan
        .mix
        .iter()
        .find(|share| share.kind == Kind::Get && share.weight > 0)?;
    (!plan.direct.is_empty() && plan.direct_rate > 0.0).then_some(share)
}

/// Gives the plan a label of its own when it has none.
///
/// Without it, a second run of the same seed would send the keys of the first and get the first one's answers.
fn labelled(plan: Plan) -> Plan {
    if !plan.label.is_empty() {
        return plan;
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let label: SmolStr = format!("load-{:x}", now.as_micros()).to_smolstr();
    Plan { label, ..plan }
}

fn join<T>(thread: thread::JoinHandle<T>) -> Result<T, Error> {
    thread.join().or(Err(panicked()))
}

fn panicked() -> Error {
    Error::Thread(std::io::Error::other("it panicked"))
}

/// Starts a named thread.
fn thread<T: Send + 'static>(
    name: String,
    body: impl FnOnce() -> T + Send + 'static,
) -> Result<thread::JoinHandle<T>, Error> {
    thread::Builder::new().name(name).spawn(body).map_err(Error::Thread)
}
