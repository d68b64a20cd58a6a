//! Backoff after refused starts and reclaims, per pool.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::Event;
use super::Settings;
use crate::market::Pool;

/// The pause of a pool, and the number of refusals that led to it.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    refusals: u32,
}

/// The pools from which no VM is requested for now.
///
/// When a zone is reclaimed and replacements are refused there, requests that keep going to the same pool would leave
/// the service short of capacity. A refused pool is therefore avoided, longer each time, and VMs are started elsewhere.
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

    /// Returns whether VMs may be requested from the pool.
    pub(super) fn is_available(&self, now: Instant, pool: &Pool) -> bool {
        self.pauses.get(pool).is_none_or(|pause| now >= pause.until)
    }

    fn refused(&mut self, now: Instant, pool: &Pool, settings: &Settings) {
        const MAX_DOUBLINGS: u32 = 16;
        let refusals = self.pauses.get(pool).map_or(0, |pause| pause.refusals);
        let span = settings
            .initial_backoff
            .saturating_mul(1 << refusals.min(MAX_DOUBLINGS));
        let until = now + span.min(settings.max_backoff);
        let refusals = refusals + 1;
        self.pauses.insert(pool.clone(), Pause { until, refusals });
    }

    /// Pauses the pool for the maximum backoff, because the platform does not sell at once what it has just reclaimed.
    fn reclaimed(&mut self, now: Instant, pool: &Pool, settings: &Settings) {
        let until = now + settings.max_backoff;
        let refusals = self.pauses.get(pool).map_or(0, |pause| pause.refusals);
        self.pauses.insert(pool.clone(), Pause { until, refusals });
    }
}
