//! Immutable verdicts on the parts of requests for workers, on the request path.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::accusation::Accused;

/// Entry that looks up verdicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Hash of its name.
    pub hash: u64,
    /// Number of all entries.
    pub count: usize,
}

impl Default for Entry {
    fn default() -> Self {
        Self { hash: 0, count: 1 }
    }
}

/// Restrictions on a request because of the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// None of the parts is refused.
    Clear,
    /// The request may run once if [`Table::claim_trial`] succeeds, to find out whether the part crashes endpoints.
    Trial {
        /// Time after which the caller may retry if another request is the trial.
        retry_after: Duration,
    },
    /// The request is refused; the caller may retry after this time.
    Refused {
        /// Time until the next trial, at the earliest.
        retry_after: Duration,
    },
}

/// Trials of one part by this entry.
#[derive(Debug, Default)]
pub(super) struct Trial {
    /// One more than the number of the turn in which the last trial began; 0 before the first one.
    next_turn: AtomicU64,
}

impl Trial {
    /// Takes the trial of a turn; returns `false` if it was taken before.
    fn claim(&self, turn: u64) -> bool {
        self.next_turn.swap(turn + 1, Relaxed) != turn + 1
    }
}

#[derive(Clone, Debug)]
struct Row {
    fingerprint: Fingerprint,
    refused_until: Instant,
    /// Time of one turn of trials.
    turn: Duration,
    trial: Arc<Trial>,
}

impl Row {
    /// Returns the number of the current turn; `None` while the part is refused.
    fn turn(&self, now: Instant) -> Option<u64> {
        let over = (now >= self.refused_until).then(|| now.since(self.refused_until))?;
        Some((over.as_millis() / self.turn.as_millis()) as u64)
    }

    /// Returns whether an entry may try the part in a turn. The first turn admits half an entry on average, so that seldom
    /// several try at once, and each turn more than the one before.
    fn admits(&self, turn: u64, entry: Entry) -> bool {
        /// Factor by which each turn admits more entries.
        const GROWTH: f64 = 1.5;
        let digits = self.fingerprint.get() as u64 ^ entry.hash;
        // The multiplication spreads the digits (Fibonacci hashing).
        let rank = (digits.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as f64 / f64::from(u32::MAX);
        rank * entry.count as f64 <= 0.5 * GROWTH.powi(turn.min(64) as i32)
    }

    fn verdict(&self, now: Instant, entry: Entry) -> Verdict {
        match self.turn(now) {
            None => Verdict::Refused {
                retry_after: self.refused_until.since(now),
            },
            Some(turn) if self.admits(turn, entry) => Verdict::Trial { retry_after: self.turn },
            Some(_) => Verdict::Refused { retry_after: self.turn },
        }
    }
}

/// Refused parts, sorted by fingerprint; nearly always empty.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Row>,
    entry: Entry,
}

impl Table {
    pub(super) fn new(entry: Entry, rows: impl Iterator<Item = (Accused, Arc<Trial>)>) -> Self {
        let row = |(accused, trial): (Accused, _)| Row {
            fingerprint: accused.fingerprint,
            refused_until: accused.refused_until,
            turn: accused.turn,
            trial,
        };
        let mut rows: Vec<_> = rows.map(row).collect();
        rows.sort_by_key(|row| row.fingerprint);
        Self { rows, entry }
    }

    /// Returns the restrictions on a request with these parts.
    pub fn verdict(&self, now: Instant, parts: &[Fingerprint]) -> Verdict {
        let mut verdict = Verdict::Clear;
        for row in self.rows_of(parts) {
            verdict = match (verdict, row.verdict(now, self.entry)) {
                (Verdict::Refused { retry_after: one }, Verdict::Refused { retry_after: other }) => Verdict::Refused {
                    retry_after: one.max(other),
                },
                (refused @ Verdict::Refused { .. }, _) => refused,
                (_, next) => next,
            };
        }
        verdict
    }

    /// Takes the trials of all refused parts of a request; returns `false` if another request of this entry tries one of them
    /// in this turn.
    pub fn claim_trial(&self, now: Instant, parts: &[Fingerprint]) -> bool {
        let mut claims = self
            .rows_of(parts)
            .map(|row| row.turn(now).map(|turn| row.trial.claim(turn)));
        claims.all(|claim| claim == Some(true))
    }

    /// Returns the refused parts, with the times from which they may be tried.
    pub fn refused(&self) -> impl Iterator<Item = (Fingerprint, Instant)> {
        self.rows.iter().map(|row| (row.fingerprint, row.refused_until))
    }

    /// Returns whether no part is refused.
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the rows of those parts that are refused.
    fn rows_of(&self, parts: &[Fingerprint]) -> impl Iterator<Item = &Row> {
        parts.iter().filter_map(|part| {
            let index = self.rows.binary_search_by_key(part, |row| row.fingerprint).ok()?;
            Some(&self.rows[index])
        })
    }
}
