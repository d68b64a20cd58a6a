//! The immutable view that workers ask on a request's path.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::Settings;
use super::record::Record;
use super::record::Spared;

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It runs as any other.
    Clear,
    /// It runs alone on one endpoint, so that its death would harm and accuse nobody else.
    Alone,
    /// It is refused; the caller may come back after this time.
    Refused {
        /// What is left of the refusal.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct Row {
    refused: Option<Instant>,
    alone: Instant,
}

/// The suspected work, sorted by fingerprint; nearly always empty.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<(Fingerprint, Row)>,
}

impl Table {
    pub(super) fn new(settings: &Settings, records: &BTreeMap<Fingerprint, Record>, spared: &Spared) -> Self {
        let row = |(fingerprint, record): (&Fingerprint, &Record)| {
            let latest = record.latest_counted(spared)?;
            let condemned = record.counted(settings.memory, spared) >= settings.deaths;
            let refused = condemned.then(|| latest + settings.hold);
            let alone = latest + settings.memory;
            Some((*fingerprint, Row { refused, alone }))
        };
        Self {
            rows: records.iter().filter_map(row).collect(),
        }
    }

    /// Returns how a request may run.
    pub fn verdict(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let Ok(index) = self.rows.binary_search_by_key(&fingerprint, |(key, _)| *key) else {
            return Verdict::Clear;
        };
        let (_, row) = self.rows[index];
        match row.refused {
            Some(until) if now < until => Verdict::Refused {
                retry_after: until.since(now),
            },
            _ if now < row.alone => Verdict::Alone,
            _ => Verdict::Clear,
        }
    }

    /// Returns whether nothing is suspected, so that no fingerprint need be computed early.
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns how many requests are suspected or refused.
    pub const fn len(&self) -> usize {
        self.rows.len()
    }
}
