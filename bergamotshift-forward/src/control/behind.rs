//! A document that another entry has, and this one lacks.

use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use slog::info;

use super::Control;
use super::inner::Inner;
use super::talk::confirm;
use super::talk::known;
use crate::document::Mismatch;
use crate::observe::Topic;
use crate::peers::Holder;
use crate::peers::Offer;
use crate::peers::Source;
use crate::peers::State;
use crate::peers::update::Arrival;
use crate::view::Shared;

/// How long an entry may know that it lacks the newest document until it sends its callers to others. A copy takes a
/// quarter of a second over the narrowest links, and operators expect a change to be in force within two.
const MAX_DOCUMENT_LAG: Duration = Duration::from_secs(2);

impl Control {
    /// Returns where a document can be had that is newer than the one in force.
    pub fn document_source(&self) -> Source {
        let now = self.now();
        let inner = self.inner.borrow();
        inner.members.source(now, inner.document.version)
    }

    /// Returns how long another entry has been known to have a newer document.
    pub fn document_lag(&self) -> Option<Duration> {
        let now = self.now();
        self.inner.borrow().behind_since.map(|since| now.since(since))
    }

    /// Waits until an entry can be asked for a newer document.
    pub async fn wait_for_holder(&self) {
        while !matches!(self.document_source(), Source::Holder(_)) {
            self.newer_document.notified().await;
        }
    }

    pub(super) fn notify_newer_document(&self) {
        if self.inner.borrow().behind_since.is_some() {
            self.newer_document.notify_waiters();
        }
    }

    /// Notes that an entry did not give its document, and for how long it is not asked again.
    pub fn defer_holder(&self, holder: &Holder, delay: Duration) {
        let now = self.now();
        self.inner.borrow_mut().members.spare(now, &holder.entry, delay);
    }

    /// Returns what another entry is given that has a version of the document.
    pub fn offer(&self, version: u64) -> Offer {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let document = Arc::clone(&inner.document);
        if document.version <= version {
            return Offer::Nothing;
        }
        let Ok(permit) = Arc::clone(&self.uploads).try_acquire_owned() else {
            return Offer::Busy;
        };
        let Some(encoded) = inner.updates.update_from(&document, version) else {
            return Offer::Nothing;
        };
        Offer::Update {
            known: known(&inner.document_freshness, now),
            encoded,
            permit,
        }
    }

    /// Puts a document in force that another entry gave, `took` after it was asked.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] when what came starts from another version than the one in force.
    pub fn apply_update(&self, holder: &Holder, arrival: Arrival, took: Duration) -> Result<(), Mismatch> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let (document, steps) = arrival.update.apply(&inner.document)?;
        let version = document.version;
        if let Some((logger, left_out)) = self.shared.log.room(now, Topic::Peers) {
            info!(logger, "document given"; "version" => version, "from" => holder.entry.as_str(),
                "bytes" => arrival.bytes, "steps" => steps.as_ref().map(Vec::len),
                "ms" => took.as_millis() as u64, "left_out" => left_out);
        }
        inner.apply_document(now, &self.shared, document, steps, holder.entry.as_str());
        if inner.document.version == version {
            // Failure: the copy says nothing of how fresh it is, so the store is asked at once for what changed since this
            // entry's last look. Symptom: it answers with the whole document once more.
            confirm(&mut inner.document_freshness, now - took, arrival.known);
        }
        Ok(())
    }
}

impl Inner {
    /// Notes which version of the document another entry has.
    pub(super) fn record_peer_document(&mut self, now: Instant, shared: &Shared, state: &State) {
        if state.document <= self.document.version {
            return;
        }
        shared.newest_document.fetch_max(state.document, Ordering::AcqRel);
        if self.behind_since.is_none() {
            self.behind_since = Some(now);
            shared.metrics.behind.set(1);
            info!(shared.log.always(), "document behind"; "version" => self.document.version,
                "newest" => state.document, "entry" => state.entry.as_str(),
                "known_age_ms" => state.document_known.map(|known| known.age_ms));
        }
    }

    /// Works out whether the document in force is behind, and for too long.
    pub(super) fn update_lag(&mut self, now: Instant, shared: &Shared) {
        if self.document.version >= shared.newest_document.load(Ordering::Acquire) && self.behind_since.take().is_some()
        {
            shared.metrics.behind.set(0);
        }
        let late = self
            .behind_since
            .is_some_and(|since| now.since(since) >= MAX_DOCUMENT_LAG);
        if shared.late.swap(late, Ordering::AcqRel) != late {
            info!(shared.log.always(), "document late"; "late" => late, "version" => self.document.version,
                "newest" => shared.newest_document.load(Ordering::Acquire),
                "behind_ms" => self.behind_since.map(|since| now.since(since).as_millis() as u64));
        }
    }
}
