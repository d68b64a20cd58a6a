//! Versions of endpoints that may have begun streams which go on now.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::origin;
use bergamotshift_rollout::origin::Declaration;
use slog::info;
use smol_str::SmolStr;

use super::Control;
use super::inner::Inner;
use crate::document::Document;
use crate::document::Kind;
use crate::endpoint::Endpoint;
use crate::follow::MAX_AGE;
use crate::view::Shared;

/// Minimum time for which a version counts after its last endpoint has gone.
const MIN_LIFETIME: Duration = Duration::from_secs(30);

/// Longest time of a stream and of a caller that takes it up, in multiples of the longest timeout of a route.
const TIMEOUTS: u32 = 2;

/// Version of a service.
pub type Version = (name::Service, SmolStr);

/// Versions that serve, or served within the lifetime of streams.
#[derive(Debug, Default)]
pub(super) struct Versions {
    /// Versions of the endpoints that are present.
    present: BTreeSet<Version>,
    /// Versions without endpoints, and the time until which they count.
    former: BTreeMap<Version, Instant>,
    /// Longest time for which the version of a stream mattered by any document in force so far.
    lifetime: Duration,
}

/// Returns the time for which the version that began a stream matters.
fn lifetime(document: &Document) -> Duration {
    let streams = document.routes.iter().filter(|route| route.kind == Kind::Stream);
    let longest = streams.map(|route| route.timeout).max().unwrap_or_default();
    (longest * TIMEOUTS).max(MIN_LIFETIME)
}

/// Returns the version of an endpoint.
fn version(endpoint: &Endpoint) -> Version {
    let registration = &endpoint.registration;
    (registration.service.clone(), registration.version.clone())
}

impl Versions {
    /// Replaces the versions of the endpoints that are present; those that have gone count until a time.
    fn set_present(&mut self, present: BTreeSet<Version>, until: Instant) {
        for gone in self.present.difference(&present) {
            self.former.insert(gone.clone(), until);
        }
        self.former.retain(|version, _| !present.contains(version));
        self.present = present;
    }

    /// Removes the versions that no longer count; returns whether there were any.
    fn expire(&mut self, now: Instant) -> bool {
        let count = self.former.len();
        self.former.retain(|_, until| *until > now);
        self.former.len() < count
    }

    fn all(&self) -> impl Iterator<Item = &Version> {
        self.present.iter().chain(self.former.keys())
    }

    /// Returns the versions of a service.
    pub(super) fn of(&self, service: &name::Service) -> Vec<SmolStr> {
        let own = self.all().filter(|(name, _)| name == service);
        own.map(|(_, version)| version.clone()).collect()
    }
}

impl Inner {
    /// Updates the versions from the endpoints that are known.
    pub(super) fn update_versions(&mut self, now: Instant, shared: &Shared) {
        let present = self.directory.endpoints().map(|endpoint| version(endpoint)).collect();
        let lifetime = lifetime(&self.document);
        self.versions.lifetime = self.versions.lifetime.max(lifetime);
        self.versions.set_present(present, now + lifetime);
        let has_streams = |service: &name::Service| {
            let mut streams = self.document.routes.iter().filter(|route| route.kind == Kind::Stream);
            streams.any(|route| route.splits.iter().any(|split| split.service == *service))
        };
        let services = self.document.services.iter().map(|service| &service.name);
        let streaming: BTreeSet<_> = services.filter(|service| has_streams(service)).collect();
        let endpoints = self.directory.endpoints();
        let endpoints = endpoints.filter(|endpoint| streaming.contains(&endpoint.registration.service));
        let endpoints = endpoints.map(|endpoint| (version(endpoint), endpoint.hash));
        let routing = self.routing.declaration().map(|routing| (routing, 0));
        self.register.update(endpoints.chain(routing));
        let mixed = streaming.iter().filter(|service| self.versions.of(service).len() > 1);
        shared.origins.set_mixed(mixed.count());
        self.mark_declared();
        if self.register.undeclared().is_some() {
            shared.origins.undeclared.notify_one();
        }
    }

    /// Tells the endpoints whether streams may begin there.
    fn mark_declared(&mut self) {
        let routing = self.routing.declaration();
        if routing.is_some_and(|routing| self.register.is_declared(&routing)) {
            self.routing.set_declared();
        }
        for endpoint in self.directory.endpoints() {
            let is_routed = self.routing.is_declared(&endpoint.registration.service);
            endpoint.set_declared(is_routed && self.register.is_declared(&version(endpoint)));
        }
    }

    /// Records the versions that are declared in the store according to another entry that knows the same endpoints.
    pub(super) fn adopt_declared(&mut self, versions: &[Version]) {
        self.register.adopt(versions);
        self.mark_declared();
    }

    /// Forgets what is declared in the store, as it was restored.
    pub(super) fn reset_declared(&mut self, shared: &Shared) {
        self.register.reset();
        self.routing.reset();
        self.mark_declared();
        shared.origins.undeclared.notify_one();
    }

    /// Adds versions that served before this process started, or that other entries know.
    pub(super) fn add_versions(&mut self, now: Instant, shared: &Shared, versions: Vec<Version>) {
        let until = now + lifetime(&self.document);
        let mut is_new = false;
        for version in versions {
            if !self.versions.present.contains(&version) {
                is_new |= self.versions.former.insert(version, until).is_none();
            }
        }
        if is_new {
            self.publish(shared);
        }
    }

    /// Returns the versions that serve, or served within the lifetime of streams.
    pub(super) fn all_versions(&self) -> Vec<Version> {
        self.versions.all().cloned().collect()
    }

    /// Updates until when the known registrations count as current.
    pub(super) fn update_current(&self, now: Instant, shared: &Shared) {
        if let Some(age) = self.registrations_checkpoint.age(now) {
            shared.origins.set_current(now + MAX_AGE.saturating_sub(age));
        }
    }

    /// Updates what the search for a stream's version rests on.
    pub(super) fn update_origins(&mut self, now: Instant, shared: &Shared) {
        let origins = &shared.origins;
        origins.set_entries(self.members.others(now));
        origins.set_writers(self.members.everyone(now));
        origins.set_lifetime(lifetime(&self.document));
        self.update_current(now, shared);
        if self.versions.expire(now) {
            self.publish(shared);
        }
    }
}

impl Control {
    /// Returns the versions that have to be declared before streams may begin at them; `None` if there are none.
    pub fn undeclared(&self) -> Option<Declaration<Version>> {
        self.inner.borrow().register.undeclared()
    }

    /// Records that the store has acknowledged a declaration; `era` is the number of its restores by then. Returns `false` if it
    /// was restored since.
    pub fn confirm_declaration(&self, declaration: &Declaration<Version>, era: u64) -> bool {
        let mut inner = self.inner.borrow_mut();
        if era < inner.registrations_checkpoint.cursor().era {
            return false;
        }
        inner.register.confirm(declaration);
        inner.mark_declared();
        let versions = declaration
            .keys()
            .map(|(service, version)| format!("{service}/{version}"));
        info!(self.shared.log.always(), "versions declared"; "versions" => versions.collect::<Vec<_>>().join(","),
            "era" => era);
        true
    }

    /// Returns the version that began each stream of a service that goes on now, if that follows from the `declared` versions,
    /// which were read from the store just now.
    pub fn sole_version(&self, service: &name::Service, declared: &[Version], era: u64) -> Option<SmolStr> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        inner.trust.observe(now, era);
        let own = declared.iter().filter(|(name, _)| name == service);
        let sole = inner.trust.sole(own.map(|(_, version)| version));
        sole.cloned()
    }

    /// Returns whether the store was restored, and may lack the version at which an entry lets streams begin.
    pub fn may_lack_versions(&self, era: u64) -> bool {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        inner.trust.observe(now, era);
        !inner.trust.is_complete()
    }

    /// Records whether all entries that may serve are heard, or have learned of the last restore.
    pub fn look_after_restore(&self, have_all_learned: bool) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let retention = inner.retention();
        inner.trust.look(now, retention, have_all_learned);
    }

    /// Returns whether an entry is this one, or was heard lately.
    pub fn is_heard(&self, entry: &str) -> bool {
        let now = self.now();
        let inner = self.inner.borrow();
        inner.members.is_heard(now, &name::Entry::new(entry))
    }

    /// Returns the entries that were known when the store was found restored, unless that was `max_cut` ago.
    pub fn known_before_restore(&self, max_cut: Duration) -> BTreeSet<name::Entry> {
        let now = self.now();
        self.inner
            .borrow()
            .members
            .known_before_restore(now, max_cut)
            .cloned()
            .collect()
    }

    /// Returns the declarations that are in use: which versions have endpoints, and which services receive streams. `None` if
    /// the registrations or the document are not current.
    pub fn used_declarations(&self) -> Option<BTreeSet<Version>> {
        let is_behind = self.shared.is_behind(&self.shared.view.load());
        let is_current = self.shared.origins.is_current(self.now()) && !is_behind;
        let inner = self.inner.borrow();
        let used = inner
            .versions
            .present
            .iter()
            .cloned()
            .chain(inner.routing.declaration());
        is_current.then(|| used.collect())
    }

    /// Returns the time for which what the store contains of versions is kept after its last use.
    pub fn retention(&self) -> Duration {
        self.inner.borrow().retention()
    }
}

impl Inner {
    /// Returns the longest time for which the version of a stream matters by any document in force so far.
    pub(super) fn stream_lifetime(&self) -> Duration {
        self.versions.lifetime.max(lifetime(&self.document))
    }

    fn retention(&self) -> Duration {
        origin::retention(self.stream_lifetime())
    }
}
