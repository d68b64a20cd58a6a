//! Tracks whether another entry has a newer document, and exchanges documents between entries.

use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use slog::info;

use super::Control;
use super::inner::Inner;
use super::talk::confirm;
use super::talk::freshness;
use crate::document::Mismatch;
use crate::observe::Topic;
use crate::peers::Holder;
use crate::peers::Offer;
use crate::peers::Source;
use crate::peers::State;
use crate::peers::update::Download;
use crate::view::Shared;

/// Time after which an entry that lacks the newest document reports itself as not ready, so that its callers go to
/// other entries. A copy takes a quarter of a second over the slowest links, and operators expect a change to be in
/// force within two seconds.
const MAX_DOCUMENT_LAG: Duration = Duration::from_secs(2);

impl Control {
    /// Returns the entry from which a document newer than the one in force can be fetched.
    pub fn document_source(&self) -> Source {
        let now = self.now();
        let inner = self.inner.borrow();
        inner.members.document_source(now, inner.document.version)
    }

    /// Returns for how long this entry has known that another entry has a newer document; `None` if none has.
    pub fn document_lag(&self) -> Option<Duration> {
        let now = self.now();
        self.inner.borrow().behind_since.map(|since| now.since(since))
    }

    /// Waits until another entry is available to fetch a newer document from.
    pub async fn wait_for_holder(&self) {
        while !matches!(self.document_source(), Source::Holder(_)) {
            self.newer_document.notified().await;
        }
    }

    /// Wakes the tasks that wait for a newer document, if another entry has one.
    pub(super) fn notify_newer_document(&self) {
        if self.inner.borrow().behind_since.is_some() {
            self.newer_document.notify_waiters();
        }
    }

    /// Excludes an entry that did not provide its document from further fetches for `delay`.
    pub fn defer_holder(&self, holder: &Holder, delay: Duration) {
        let now = self.now();
        self.inner
            .borrow_mut()
            .members
            .defer_download(now, &holder.entry, delay);
    }

    /// Returns the update for another entry that has `version` of the document.
    ///
    /// Returns [`Offer::Busy`] if the maximum number of uploads is in progress.
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
            freshness: freshness(&inner.document_checkpoint, now),
            encoded,
            permit,
        }
    }

    /// Puts a document in force that was downloaded from another entry; `took` is the duration of the download.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] if the update does not start from the version in force.
    pub fn apply_update(&self, holder: &Holder, download: Download, took: Duration) -> Result<(), Mismatch> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let (document, steps) = download.transfer.apply(&inner.document)?;
        let version = document.version;
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Peers) {
            info!(logger, "document given"; "version" => version, "from" => holder.entry.as_str(),
                "bytes" => download.bytes, "steps" => steps.as_ref().map(Vec::len),
                "ms" => took.as_millis() as u64, "left_out" => left_out);
        }
        inner.apply_document(now, &self.shared, document, steps, holder.entry.as_str());
        if inner.document.version == version {
            // Without the sender's freshness, this entry would query the store at once for changes since its own last
            // read, and the store would return the whole document again.
            confirm(&mut inner.document_checkpoint, now - took, download.freshness);
        }
        Ok(())
    }
}

impl Inner {
    /// Records which version of the document another entry has.
    pub(super) fn record_peer_document(&mut self, now: Instant, shared: &Shared, state: &State) {
        if state.document <= self.document.version {
            return;
        }
        shared.newest_document.fetch_max(state.document, Ordering::AcqRel);
        if self.behind_since.is_none() {
            self.behind_since = Some(now);
            shared.metrics.document_behind.set(1);
            info!(shared.log.always(), "document behind"; "version" => self.document.version,
                "newest" => state.document, "entry" => state.entry.as_str(),
                "known_age_ms" => state.document_freshness.map(|known| known.age_ms));
        }
    }

    /// Updates whether the document in force is behind the newest one, and whether it has been for too long.
    pub(super) fn update_lag(&mut self, now: Instant, shared: &Shared) {
        if self.document.version >= shared.newest_document.load(Ordering::Acquire) && self.behind_since.take().is_some()
        {
            shared.metrics.document_behind.set(0);
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
