//! Pauses after refused starts, per slot.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::Event;
use super::Settings;
use crate::market::Slot;

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    refusals: u32,
}

/// Remembers which slots are not worth asking for at the moment.
///
/// Failure: a zone is reclaimed and replacements are refused there. Symptom: all starts go on being asked for where
/// none is sold, and the service stays short. A refused slot pauses, longer each time, and starts go elsewhere.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoff {
    pauses: BTreeMap<Slot, Pause>,
}

impl Backoff {
    pub(super) const fn new() -> Self {
        let pauses = BTreeMap::new();
        Self { pauses }
    }

    pub(super) fn event(&mut self, now: Instant, event: &Event, settings: &Settings) {
        match event {
            Event::Started(slot) => {
                self.pauses.remove(slot);
            }
            Event::Refused(slot) => self.refused(now, slot, settings),
            Event::Reclaimed(slot) => self.reclaimed(now, slot, settings),
        }
    }

    pub(super) fn open(&self, now: Instant, slot: &Slot) -> bool {
        self.pauses.get(slot).is_none_or(|pause| now >= pause.until)
    }

    fn refused(&mut self, now: Instant, slot: &Slot, settings: &Settings) {
        const MAX_DOUBLINGS: u32 = 16;
        let refusals = self.pauses.get(slot).map_or(0, |pause| pause.refusals);
        let span = settings.pause.saturating_mul(1 << refusals.min(MAX_DOUBLINGS));
        let until = now + span.min(settings.pause_cap);
        let refusals = refusals + 1;
        self.pauses.insert(slot.clone(), Pause { until, refusals });
    }

    /// What the platform takes back it does not sell again at once.
    fn reclaimed(&mut self, now: Instant, slot: &Slot, settings: &Settings) {
        let until = now + settings.pause_cap;
        let refusals = self.pauses.get(slot).map_or(0, |pause| pause.refusals);
        self.pauses.insert(slot.clone(), Pause { until, refusals });
    }
}
