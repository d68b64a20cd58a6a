//! Proposes one operator's change and waits for the outcome.

use std::rc::Rc;
use std::time;

use bergamotshift_config::accept::Proposer;
use bergamotshift_config::accept::Timing;
use bergamotshift_config::accept::proposer::Action;
use bergamotshift_config::accept::proposer::Event;
use bergamotshift_config::accept::proposer::Outcome;
use bergamotshift_config::accept::proposer::Request;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::prelude::*;
use bergamotshift_platform::table::Table;

use super::Store;

/// Runs a proposer against the platform and returns the outcome of the change.
///
/// Cancellation is safe: no lock is held, and another proposer takes over a proposal that was left behind.
pub async fn run(table: &Rc<dyn Table>, store: &Store, request: Request, timing: Timing) -> Outcome {
    let epoch = time::Instant::now();
    let now = || Instant::from_micros(u64::try_from(epoch.elapsed().as_micros()).unwrap_or(u64::MAX));
    let mut proposer = Proposer::new(request, timing, now());
    let mut event = Event::Tick;
    loop {
        let mut answer = None;
        for action in proposer.handle(now(), event) {
            match action {
                Action::Finish(outcome) => return outcome,
                // This process has no member that could use it.
                Action::Publish(_) => {}
                call => answer = Some(execute(table, store, call).await),
            }
        }
        event = match answer {
            Some(answer) => answer,
            None => sleep(&proposer, now()).await,
        };
    }
}

/// Sleeps until the proposer's next wake-up.
async fn sleep(proposer: &Proposer, now: Instant) -> Event {
    let until = proposer.wake().unwrap_or(now);
    tokio::time::sleep(until.since(now)).await;
    Event::Tick
}

/// Executes a call and returns its result as an event.
async fn execute(table: &Rc<dyn Table>, store: &Store, call: Action) -> Event {
    match call {
        Action::Read(keys) => table.get(keys).await.map_or(Event::ReadFailed, Event::Rows),
        Action::Write(writes) => Event::Ended(table.transact(writes).await),
        Action::Store(manifest) => store
            .put(&manifest)
            .await
            .map_or(Event::StoreFailed, |()| Event::Stored),
        Action::Fetch(digest) => {
            let found = store.get(&digest, &Manifest::default()).await;
            found.map_or(Event::FetchFailed, Event::Fetched)
        }
        Action::Publish(_) | Action::Finish(_) => Event::Tick,
    }
}
