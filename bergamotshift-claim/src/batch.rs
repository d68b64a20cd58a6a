//! Group commit: many small writes in few transactions.
//!
//! Every submitted write is a transaction of its own as far as its sender can tell: each gets its own
//! [`Ending`]. When one write of a transaction conflicts, the table cancels all of it; the conflicting write is told
//! so and the others go again, without it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Write;
use thiserror::Error;

/// How writes are gathered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The most writes in one transaction; the table's own limit is 100.
    pub max_items: usize,
    /// The most bytes of bodies in one transaction.
    pub max_bytes: usize,
    /// The most transactions without an answer.
    pub max_in_flight: usize,
    /// The time that each transaction takes from this entry's share of the table's rate.
    pub per_transaction: Duration,
    /// The time that each write takes from this entry's share of the table's rate.
    pub per_item: Duration,
    /// The most writes that wait; more are refused at once.
    pub max_queued: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_items: 100,
            max_bytes: 2 << 20,
            max_in_flight: 2,
            per_transaction: Duration::from_millis(20),
            per_item: Duration::ZERO,
            max_queued: 4_096,
        }
    }
}

/// The queue is full; the write did not and will not take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("too many writes wait for the table")]
pub struct Full;

/// Identifies a transaction of a [`Batch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// A transaction to carry out; its ending goes to [`Batch::complete`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// Comes back with the ending.
    pub id: Id,
    /// The writes, each on a row of its own.
    pub writes: Vec<Write>,
}

/// Gathers writes into transactions; `T` tells the senders apart.
#[derive(Clone, Debug)]
pub struct Batch<T> {
    settings: Settings,
    waiting: VecDeque<(T, Write)>,
    in_flight: BTreeMap<Id, Vec<(T, Write)>>,
    next_id: u64,
    /// When the next transaction may start.
    next_at: Instant,
}

impl<T> Batch<T> {
    /// Makes an empty batch.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            waiting: VecDeque::new(),
            in_flight: BTreeMap::new(),
            next_id: 0,
            next_at: Instant::ZERO,
        }
    }

    /// Changes how writes are gathered, for instance when the number of entries changes.
    pub const fn set(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Returns how many writes wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a write in.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] when too many writes wait.
    pub fn push(&mut self, ticket: T, write: Write) -> Result<(), Full> {
        // Without a bound an outage of the table would pile up writes until callers had long given up.
        if self.waiting.len() >= self.settings.max_queued {
            return Err(Full);
        }
        self.waiting.push_back((ticket, write));
        Ok(())
    }

    /// Returns when [`Batch::next`] can have a transaction, if any write waits and a transaction may start.
    pub fn due(&self) -> Option<Instant> {
        let ready = !self.waiting.is_empty() && self.in_flight.len() < self.settings.max_in_flight;
        ready.then_some(self.next_at)
    }

    /// Returns the next transaction, if one may start now.
    pub fn next(&mut self, now: Instant) -> Option<Transaction> {
        if self.due().is_none_or(|due| now < due) {
            return None;
        }
        let taken = self.take();
        let writes = taken.iter().map(|(_, write)| write.clone()).collect::<Vec<_>>();
        if writes.is_empty() {
            return None;
        }
        let items = u32::try_from(writes.len()).unwrap_or(u32::MAX);
        self.next_at = now + self.settings.per_transaction + self.settings.per_item.saturating_mul(items);
        let id = Id(self.next_id);
        self.next_id += 1;
        self.in_flight.insert(id, taken);
        Some(Transaction { id, writes })
    }

    /// Takes writes from the queue, at most one for each row.
    ///
    /// The table refuses a transaction that names a row twice, and a row's writes keep their order.
    fn take(&mut self) -> Vec<(T, Write)> {
        let mut busy = self
            .in_flight
            .values()
            .flatten()
            .map(|(_, write)| write.key.clone())
            .collect::<BTreeSet<_>>();
        let mut bytes = 0;
        let mut taken = Vec::new();
        let mut left = VecDeque::new();
        while let Some((ticket, write)) = self.waiting.pop_front() {
            let size = size(&write);
            let fits = taken.is_empty() || bytes + size <= self.settings.max_bytes;
            let room = taken.len() < self.settings.max_items && fits;
            if !room {
                left.push_back((ticket, write));
                break;
            }
            if busy.insert(write.key.clone()) {
                bytes += size;
                taken.push((ticket, write));
            } else {
                left.push_back((ticket, write));
            }
        }
        left.append(&mut self.waiting);
        self.waiting = left;
        taken
    }

    /// Takes a transaction's ending in and returns the endings of single writes that are settled by it.
    pub fn complete(&mut self, id: Id, ending: &Ending) -> Vec<(T, Ending)> {
        let Some(writes) = self.in_flight.remove(&id) else {
            return Vec::new();
        };
        let Ending::Conflict(places) = ending else {
            return writes.into_iter().map(|(ticket, _)| (ticket, ending.clone())).collect();
        };
        let mut settled = Vec::new();
        let mut again = Vec::new();
        for (place, (ticket, write)) in writes.into_iter().enumerate() {
            if places.contains(&place) {
                settled.push((ticket, Ending::Conflict(vec![0])));
            } else {
                again.push((ticket, write));
            }
        }
        if settled.is_empty() {
            // The table cancelled the transaction and names none of its writes. Sending the same again could go on
            // for ever, and it is certain that nothing took effect.
            return again.into_iter().map(|(ticket, _)| (ticket, Ending::Refused)).collect();
        }
        for write in again.into_iter().rev() {
            self.waiting.push_front(write);
        }
        settled
    }
}

fn size(write: &Write) -> usize {
    let body = match &write.change {
        Change::Put(body) => body.len(),
        Change::Delete | Change::Check => 0,
    };
    body + write.key.partition.len() + write.key.sort.len()
}
