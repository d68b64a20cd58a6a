//! Hands out requests when they are due.
//!
//! The pacer has a thread of its own: the timers of a worker's runtime count whole milliseconds, which would show in
//! every latency.

use core::time::Duration;
use std::thread;
use std::time::Instant;

use super::Sender;
use super::direct_share;
use super::worker::Item;
use super::worker::Task;
use crate::Plan;
use crate::arrival::Arrivals;
use crate::arrival::Process;

/// Sends each request of the plan to a worker when it is due, and returns how many there were.
pub(super) fn pace(plan: &Plan, start: Instant, workers: &[Sender]) -> u64 {
    let mut arrivals = Arrivals::new(plan.arrival, plan.rate, plan.seed).enumerate().peekable();
    let direct_rate = if direct_share(plan).is_some() {
        plan.direct_rate
    } else {
        0.0
    };
    let mut direct = direct_arrivals(direct_rate, plan.seed).enumerate().peekable();
    let mut due = 0;
    loop {
        let (_, next) = *arrivals.peek().expect("arrivals have no end");
        let next_direct = direct.peek().map(|(_, at)| *at);
        let (index, at, task) = match next_direct {
            Some(at) if at < next => {
                let (index, at) = direct.next().expect("it was peeked");
                (index, at, Task::Direct)
            }
            _ => {
                let (index, at) = arrivals.next().expect("it was peeked");
                (index, at, Task::Load)
            }
        };
        if at >= plan.duration {
            return due;
        }
        due += u64::from(matches!(task, Task::Load));
        thread::sleep((start + at).saturating_duration_since(Instant::now()));
        let item = Item {
            index: index as u64,
            due: start + at,
            task,
        };
        // A worker that panicked shows when it is joined.
        drop(workers[index % workers.len()].send(item));
    }
}

fn direct_arrivals(rate: f64, seed: u64) -> impl Iterator<Item = Duration> {
    let arrivals = (rate > 0.0).then(|| Arrivals::new(Process::Poisson, rate, !seed));
    arrivals.into_iter().flatten()
}
