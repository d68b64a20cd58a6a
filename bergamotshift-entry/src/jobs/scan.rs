//! Scans the table for open jobs without a valid lease and starts them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use bergamotshift_claim::job;

use super::run;
use crate::worker::Worker;

/// Identifiers of the jobs that this entry is running.
pub(super) type Running = Rc<RefCell<BTreeSet<job::Id>>>;

/// Scans for open jobs until the entry ends.
pub async fn scan(worker: Rc<Worker>) {
    let settings = worker.shared.settings.jobs;
    if settings.max_running == 0 {
        return;
    }
    let running = Running::default();
    let mut watch = job::Watch::default();
    // The scan does not know the other entries, so each entry lists all shards.
    let own = worker.shared.settings.name.clone();
    let shards = job::shards(&own, core::slice::from_ref(&own));
    loop {
        for shard in &shards {
            scan_shard(&worker, &running, &mut watch, *shard).await;
        }
        tokio::time::sleep(settings.scan_interval).await;
    }
}

/// Lists the open jobs of a shard and starts those without a valid lease, up to the limit.
async fn scan_shard(worker: &Rc<Worker>, running: &Running, watch: &mut job::Watch, shard: u8) {
    let Some(rows) = worker.shared.store.list(job::open_partition(shard)).await else {
        return;
    };
    let rows = rows
        .into_iter()
        .filter_map(|(sort, row)| Some((sort.parse().ok()?, row)));
    let rows = rows.collect::<Vec<_>>();
    for candidate in watch.update(worker.shared.now(), shard, &rows) {
        let is_full = running.borrow().len() >= worker.shared.settings.jobs.max_running;
        if is_full || worker.shared.is_draining() {
            return;
        }
        if running.borrow_mut().insert(candidate.id) {
            ntex::rt::spawn(run::run(Rc::clone(worker), candidate, Rc::clone(running))).detach();
        }
    }
}
