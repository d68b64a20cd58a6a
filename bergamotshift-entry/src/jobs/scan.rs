//! Looks for open jobs that nobody runs, and runs some.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use bergamotshift_claim::job;

use super::run;
use crate::worker::Worker;

/// The jobs that this entry runs now.
pub(super) type Running = Rc<RefCell<BTreeSet<job::Id>>>;

/// Looks for open jobs until the entry ends.
pub async fn scan(worker: Rc<Worker>) {
    let settings = worker.shared.settings.jobs;
    if settings.max_running == 0 {
        return;
    }
    let running = Running::default();
    let mut watch = job::Watch::default();
    // Until entries know each other here, each lists all shards.
    let own = worker.shared.settings.name.clone();
    let shards = job::shards(&own, core::slice::from_ref(&own));
    loop {
        for shard in &shards {
            look(&worker, &running, &mut watch, *shard).await;
        }
        tokio::time::sleep(settings.scan_interval).await;
    }
}

async fn look(worker: &Rc<Worker>, running: &Running, watch: &mut job::Watch, shard: u8) {
    let Some(rows) = worker.shared.store.list(job::open_partition(shard)).await else {
        return;
    };
    let rows = rows
        .into_iter()
        .filter_map(|(sort, row)| Some((sort.parse().ok()?, row)));
    let rows = rows.collect::<Vec<_>>();
    for candidate in watch.update(worker.shared.now(), shard, &rows) {
        let full = running.borrow().len() >= worker.shared.settings.jobs.max_running;
        if full || worker.shared.is_draining() {
            return;
        }
        if running.borrow_mut().insert(candidate.id) {
            ntex::rt::spawn(run::run(Rc::clone(worker), candidate, Rc::clone(running))).detach();
        }
    }
}
