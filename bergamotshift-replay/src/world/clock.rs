//! The replay's agenda: events in the order of their time, then of their making.

use core::cmp::Ordering;
use std::collections::BinaryHeap;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_route::reclaim::Action;

use crate::engine::Change;
use crate::engine::Job;

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next request of the workload arrives.
    Arrive,
    /// An engine's batch changes, unless its generation moved on.
    Engine { vm: usize, generation: u64 },
    /// An engine makes its load report.
    Report { vm: usize, life: u64 },
    /// A report and a cache event reach the entries.
    Deliver {
        vm: usize,
        life: u64,
        report: Report,
        change: Option<Change>,
    },
    /// An entry publishes its view and sends deferred work that now finds room.
    Publish { entry: usize },
    /// A job is sent, for the first time or again.
    Send { job: Job },
    /// A step of a reclaim plan.
    Step { job: Job, epoch: u32, action: Action },
    /// The capacity loop runs.
    Scale,
    /// A VM is ready.
    Ready { vm: usize, life: u64 },
    /// A VM had notice, and the entries hear of it.
    Learn { vm: usize, life: u64 },
    /// A VM is gone.
    Cut { vm: usize, life: u64 },
    /// All VMs of a zone get notice.
    Reclaim { zone: u8 },
    /// The entries plan the streams of a zone that had notice.
    Plan { zone: u8 },
    /// The poisonous request is sent by its caller.
    Poison { sends_left: u32 },
}

#[derive(Debug)]
struct Due {
    at: Instant,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed: the heap gives its greatest element first.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// The events to come.
#[derive(Debug, Default)]
pub struct Agenda {
    due: BinaryHeap<Due>,
    order: u64,
}

impl Agenda {
    /// Plans an event.
    pub fn add(&mut self, at: Instant, event: Event) {
        self.order += 1;
        self.due.push(Due {
            at,
            order: self.order,
            event,
        });
    }

    /// Takes the next event.
    pub fn next(&mut self) -> Option<(Instant, Event)> {
        self.due.pop().map(|due| (due.at, due.event))
    }
}
