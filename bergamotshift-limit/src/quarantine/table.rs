//! Immutable verdicts for workers, on the request path.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::Attribution;
use super::Settings;
use super::record::Excuses;
use super::record::Record;

/// Restrictions on how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request runs without restrictions.
    Clear,
    /// The request runs alone on an endpoint, so that a crash affects and casts suspicion on no other request.
    Alone,
    /// The request is refused; the caller may retry after this time.
    Refused {
        /// Remaining time of the refusal.
        retry_after: Duration,
    },
}

/// Restrictions on one request.
#[derive(Clone, Copy, Debug)]
struct Row {
    refused_until: Option<Instant>,
    alone_until: Instant,
}

/// Suspected requests, sorted by fingerprint; nearly always empty.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<(Fingerprint, Row)>,
}

impl Table {
    pub(super) fn new(settings: &Settings, records: &BTreeMap<Fingerprint, Record>, excuses: &Excuses<'_>) -> Self {
        let row = |(fingerprint, record): (&Fingerprint, &Record)| {
            let repeated = |least| record.unexcused(settings.memory, least, excuses);
            let is_repeated = |least| repeated(least) >= settings.max_deaths;
            let is_unconfirmed = is_repeated(Attribution::Unconfirmed);
            let is_refused =
                is_repeated(Attribution::Counted) || record.count(settings.memory, excuses) >= settings.deaths;
            let hold = match (is_refused, is_unconfirmed) {
                (true, _) if record.is_answered() => Some(settings.answered_hold(repeated(Attribution::Counted))),
                (true, _) => Some(settings.hold),
                (false, true) => Some(settings.unconfirmed_hold),
                (false, false) => None,
            };
            let latest = if is_unconfirmed {
                record.latest_unexcused(excuses)?
            } else {
                record.latest_counted(excuses)?
            };
            let alone_until = latest + settings.memory;
            Some((
                *fingerprint,
                Row {
                    refused_until: hold.map(|hold| latest + hold),
                    alone_until,
                },
            ))
        };
        Self {
            rows: records.iter().filter_map(row).collect(),
        }
    }

    /// Returns the restrictions on a request.
    pub fn verdict(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let Ok(index) = self.rows.binary_search_by_key(&fingerprint, |(key, _)| *key) else {
            return Verdict::Clear;
        };
        let (_, row) = self.rows[index];
        match row.refused_until {
            Some(until) if now < until => Verdict::Refused {
                retry_after: until.since(now),
            },
            _ if now < row.alone_until => Verdict::Alone,
            _ => Verdict::Clear,
        }
    }

    /// Returns the requests that are refused.
    pub fn refused(&self, now: Instant) -> impl Iterator<Item = Fingerprint> {
        let is_refused = move |row: &Row| row.refused_until.is_some_and(|until| now < until);
        let refused = self.rows.iter().filter(move |(_, row)| is_refused(row));
        refused.map(|(fingerprint, _)| *fingerprint)
    }

    /// Returns whether no request is suspected, in which case no fingerprint has to be computed early.
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of suspected or refused requests.
    pub const fn len(&self) -> usize {
        self.rows.len()
    }
}
