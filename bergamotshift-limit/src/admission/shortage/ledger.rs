//! Requested and admitted work of organisations within a window.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use rustc_hash::FxHashMap;

use crate::share::Claimant;
use crate::share::divide;

/// Number of parts of a window, after which the oldest part is dropped.
const PARTS: usize = 8;

/// Work of one organisation, in seconds of engine time.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    requested: f64,
    admitted: f64,
}

/// Work of one organisation in each part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    weight: f64,
    parts: [Work; PARTS],
}

impl Row {
    fn requested(&self) -> f64 {
        self.parts.iter().map(|work| work.requested).sum()
    }

    fn admitted(&self) -> f64 {
        self.parts.iter().map(|work| work.admitted).sum()
    }
}

/// Share of an organisation and the work that it was admitted, in seconds of engine time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Usage {
    pub(super) share: f64,
    pub(super) admitted: f64,
}

/// Requested and admitted work of a bounded number of organisations within a window.
#[derive(Debug)]
pub(super) struct Ledger {
    part: Duration,
    capacity: usize,
    /// Number of the current part since the clock's origin.
    current: u64,
    rows: FxHashMap<Option<name::Organisation>, Row>,
}

impl Ledger {
    pub(super) fn new(window: Duration, capacity: usize) -> Self {
        Self {
            part: (window / PARTS as u32).max(Duration::from_micros(1)),
            capacity,
            current: 0,
            rows: FxHashMap::default(),
        }
    }

    /// Drops the parts that are older than the window, and the organisations without any work in it.
    fn advance(&mut self, now: Instant) {
        let current = now.as_micros() / self.part.as_micros() as u64;
        let passed = current.saturating_sub(self.current);
        if passed == 0 {
            return;
        }
        let first = self.current + 1;
        self.current = current;
        if passed >= PARTS as u64 {
            self.rows.clear();
            return;
        }
        self.rows.retain(|_, row| {
            for part in first..=current {
                row.parts[(part % PARTS as u64) as usize] = Work::default();
            }
            row.parts.iter().any(|work| work.requested > 0.0)
        });
    }

    /// Records requested work, and returns whether the organisation is in the table.
    pub(super) fn request(
        &mut self,
        now: Instant,
        organisation: Option<&name::Organisation>,
        weight: f64,
        work: f64,
    ) -> bool {
        self.advance(now);
        let part = (self.current % PARTS as u64) as usize;
        let organisation = organisation.cloned();
        if self.rows.len() >= self.capacity && !self.rows.contains_key(&organisation) {
            return false;
        }
        let row = self.rows.entry(organisation).or_default();
        row.weight = weight;
        row.parts[part].requested += work;
        true
    }

    /// Records admitted work of an organisation whose request was recorded before.
    pub(super) fn admit(&mut self, organisation: Option<&name::Organisation>, work: f64) {
        let part = (self.current % PARTS as u64) as usize;
        if let Some(row) = self.rows.get_mut(&organisation.cloned()) {
            row.parts[part].admitted += work;
        }
    }

    /// Returns the share of an organisation in the work that was admitted in the window; `None` if the organisation is
    /// not in the table.
    pub(super) fn usage(&self, organisation: Option<&name::Organisation>) -> Option<Usage> {
        let organisation = organisation.cloned();
        let mut index = None;
        let mut capacity = 0.0;
        let mut own = 0.0;
        let mut claimants = Vec::with_capacity(self.rows.len());
        for (name, row) in &self.rows {
            let admitted = row.admitted();
            if *name == organisation {
                index = Some(claimants.len());
                own = admitted;
            }
            capacity += admitted;
            claimants.push(Claimant {
                weight: row.weight,
                demand: row.requested(),
            });
        }
        let shares = divide(capacity, &claimants);
        Some(Usage {
            share: shares[index?],
            admitted: own,
        })
    }

    /// Returns the number of organisations in the table.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }
}
