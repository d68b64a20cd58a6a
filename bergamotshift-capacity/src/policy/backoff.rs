//! Pauses after refused starts, per pool.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::Event;
use super::Settings;
use crate::market::Pool;

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    refusals: u32,
}

/// Remembers which pools are not worth asking for at the moment.
///
/// Failure: a zone is reclaimed and replacements are refused there. Symptom: all starts go on being asked for where
/// none is sold, and the service stays short. A refused pool pauses, longer each time, and starts go elsewhere.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoff {
    pauses: BTreeMap<Pool, Pause>,
}

impl Backoff {
    pub(super) const fn new() -> Self {
        let pauses = BTreeMap::new();
        Self { pauses }
    }

    pub(super) fn event(&mut self, now: Instant, event: &Event, settings: &Settings) {
        match event {
            Event::Started(pool) => {
                self.pauses.remove(pool);
            }
            Event::Refused(pool) => self.refused(now, pool, settings),
            Event::Reclaimed(pool) => self.reclaimed(now, pool, settings),
        }
    }

    pub(super) fn open(&self, now: Instant, pool: &Pool) -> bool {
        self.pauses.get(pool).is_none_or(|pause| now >= pause.until)
    }

    fn refused(&mut self, now: Instant, pool: &Pool, settings: &Settings) {
        const MAX_DOUBLINGS: u32 = 16;
        let refusals = self.pauses.get(pool).map_or(0, |pause| pause.refusals);
        let span = settings.pause.saturating_mul(1 << refusals.min(MAX_DOUBLINGS));
        let until = now + span.min(settings.pause_cap);
        let refusals = refusals + 1;
        self.pauses.insert(pool.clone(), Pause { until, refusals });
    }

    /// What the platform takes back it does not sell again at once.
    fn reclaimed(&mut self, now: Instant, pool: &Pool, settings: &Settings) {
        let until = now + settings.pause_cap;
        let refusals = self.pauses.get(pool).map_or(0, |pause| pause.refusals);
        self.pauses.insert(pool.clone(), Pause { until, refusals });
    }
}
