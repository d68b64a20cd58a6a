//! Group commit of many small writes in few transactions.
//!
//! To its submitter, each write behaves like a transaction of its own, with its own [`Ending`]. If one write of a
//! transaction conflicts, the table cancels the whole transaction. Only the conflicting write ends with a conflict; the
//! others are queued again without it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Write;
use thiserror::Error;

/// Settings of a [`Batch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of writes in a transaction; the table itself allows 100.
    pub max_items: usize,
    /// Maximum size of a transaction's keys and bodies, in bytes. A larger write is sent in a transaction of its own.
    pub max_bytes: usize,
    /// Maximum number of transactions in flight.
    pub max_in_flight: usize,
    /// Interval between the starts of two transactions, which limits this entry to its share of the table's rate.
    pub per_transaction: Duration,
    /// Extension of that interval for each write of the first of the two transactions.
    pub per_item: Duration,
    /// Maximum number of queued writes; further ones are rejected at once.
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

/// Error for a write that is rejected because the queue is full. The write did not and will not take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("too many writes are queued for the table")]
pub struct Full;

/// Identifier of a transaction of a [`Batch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// Transaction to perform; its ending is passed to [`Batch::complete`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// Identifier to pass to [`Batch::complete`].
    pub id: Id,
    /// Writes, each to a different row.
    pub writes: Vec<Write>,
}

/// Queue that combines writes into transactions; a `T` identifies each write to its submitter.
#[derive(Clone, Debug)]
pub struct Batch<T> {
    settings: Settings,
    waiting: VecDeque<(T, Write)>,
    in_flight: BTreeMap<Id, Vec<(T, Write)>>,
    next_id: u64,
    /// Earliest time at which the next transaction may start.
    next_at: Instant,
}

impl<T> Batch<T> {
    /// Creates an empty batch.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            waiting: VecDeque::new(),
            in_flight: BTreeMap::new(),
            next_id: 0,
            next_at: Instant::ZERO,
        }
    }

    /// Replaces the settings, for instance after the number of entries changed.
    pub const fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Returns the number of queued writes.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Queues a write.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if [`Settings::max_queued`] writes are queued already.
    pub fn push(&mut self, ticket: T, write: Write) -> Result<(), Full> {
        // Without a limit, writes would accumulate during an outage of the table until long after their callers gave
        // up.
        if self.waiting.len() >= self.settings.max_queued {
            return Err(Full);
        }
        self.waiting.push_back((ticket, write));
        Ok(())
    }

    /// Returns the time from which [`Batch::next`] may return a transaction; `None` if no write is queued or too many
    /// transactions are in flight.
    pub fn due(&self) -> Option<Instant> {
        let ready = !self.waiting.is_empty() && self.in_flight.len() < self.settings.max_in_flight;
        ready.then_some(self.next_at)
    }

    /// Returns the next transaction, if one may start at `now`.
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

    /// Takes writes from the queue, at most one for each row and none for a row that has a write in flight.
    ///
    /// The table rejects a transaction that contains a row twice, and the writes of a row have to keep their order.
    fn take(&mut self) -> Vec<(T, Write)> {
        let mut busy_rows = self
            .in_flight
            .values()
            .flatten()
            .map(|(_, write)| write.key.clone())
            .collect::<BTreeSet<_>>();
        let mut bytes = 0;
        let mut taken = Vec::new();
        let mut remaining = VecDeque::new();
        while let Some((ticket, write)) = self.waiting.pop_front() {
            let size = size(&write);
            let fits = taken.is_empty() || bytes + size <= self.settings.max_bytes;
            let has_room = taken.len() < self.settings.max_items && fits;
            if !has_room {
                remaining.push_back((ticket, write));
                break;
            }
            if busy_rows.insert(write.key.clone()) {
                bytes += size;
                taken.push((ticket, write));
            } else {
                remaining.push_back((ticket, write));
            }
        }
        remaining.append(&mut self.waiting);
        self.waiting = remaining;
        taken
    }

    /// Handles the ending of a transaction and returns the final endings of its writes; writes to be retried are queued
    /// again and not returned. The ending of a transaction that is not in flight is ignored.
    pub fn complete(&mut self, id: Id, ending: &Ending) -> Vec<(T, Ending)> {
        let Some(writes) = self.in_flight.remove(&id) else {
            return Vec::new();
        };
        let Ending::Conflict(conflicting) = ending else {
            return writes.into_iter().map(|(ticket, _)| (ticket, ending.clone())).collect();
        };
        let mut settled = Vec::new();
        let mut retried = Vec::new();
        for (index, (ticket, write)) in writes.into_iter().enumerate() {
            if conflicting.contains(&index) {
                settled.push((ticket, Ending::Conflict(vec![0])));
            } else {
                retried.push((ticket, write));
            }
        }
        if settled.is_empty() {
            // The table cancelled the transaction without naming a conflicting write. No write took effect, and
            // retrying the same transaction might never end.
            return retried
                .into_iter()
                .map(|(ticket, _)| (ticket, Ending::Refused))
                .collect();
        }
        for write in retried.into_iter().rev() {
            self.waiting.push_front(write);
        }
        settled
    }
}

/// Returns the size of a write's key and body, in bytes.
fn size(write: &Write) -> usize {
    let body = match &write.change {
        Change::Put(body) => body.len(),
        Change::Delete | Change::Check => 0,
    };
    body + write.key.partition.len() + write.key.sort.len()
}
