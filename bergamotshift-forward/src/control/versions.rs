//! Versions of endpoints that may have begun streams which go on now.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use super::inner::Inner;
use crate::document::Document;
use crate::document::Kind;
use crate::follow::MAX_AGE;
use crate::view::Shared;

/// Minimum time for which a version counts after its last endpoint has gone.
const MIN_LIFETIME: Duration = Duration::from_secs(30);

/// Longest time of a stream and of a caller that takes it up, in multiples of the longest timeout of a route.
const TIMEOUTS: u32 = 2;

/// Version of a service.
pub(super) type Version = (name::Service, SmolStr);

/// Versions that serve, or served within the lifetime of streams.
#[derive(Debug, Default)]
pub(super) struct Versions {
    /// Versions of the endpoints that are present.
    present: BTreeSet<Version>,
    /// Versions without endpoints, and the time until which they count.
    former: BTreeMap<Version, Instant>,
}

/// Returns the time for which the version that began a stream matters.
fn lifetime(document: &Document) -> Duration {
    let streams = document.routes.iter().filter(|route| route.kind == Kind::Stream);
    let longest = streams.map(|route| route.timeout).max().unwrap_or_default();
    (longest * TIMEOUTS).max(MIN_LIFETIME)
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
    pub(super) fn update_versions(&mut self, now: Instant) {
        let endpoints = self.directory.endpoints();
        let present = endpoints.map(|endpoint| {
            let registration = &endpoint.registration;
            (registration.service.clone(), registration.version.clone())
        });
        let present = present.collect();
        let until = now + lifetime(&self.document);
        self.versions.set_present(present, until);
    }

    /// Adds versions that served before this process started, or that other entries know.
    pub(super) fn add_versions(&mut self, now: Instant, versions: Vec<Version>) {
        let until = now + lifetime(&self.document);
        for version in versions {
            if !self.versions.present.contains(&version) {
                self.versions.former.insert(version, until);
            }
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
        origins.set_lifetime(lifetime(&self.document));
        self.update_current(now, shared);
        if self.versions.expire(now) {
            self.publish(shared);
        }
    }
}
