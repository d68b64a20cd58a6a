//! Services that receive streams, and when streams may begin there.
//!
//! An entry that does not know that a stream's route has moved must not take the version of the service that it knows for the one
//! that began the stream. So the services that receive streams are declared in the store like versions, before a stream begins at
//! one to which a route has moved.

use std::collections::BTreeSet;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use smol_str::format_smolstr;

use super::Control;
use super::versions::Version;
use crate::document::Document;
use crate::routes::History;
use crate::routes::Streams;

/// Service of the declarations that concern none; no service has an empty name.
const ANY_SERVICE: &str = "";

/// Services that receive streams by the document in force, and did by others.
#[derive(Debug, Default)]
pub(super) struct Routing {
    streams: Arc<Streams>,
    digest: u64,
    /// Those that were last declared in the store.
    declared: Arc<Streams>,
    /// Services at which no stream may begin before the current ones are declared.
    undeclared: BTreeSet<name::Service>,
    /// Other services that may have begun streams which go on now.
    pub(super) history: History,
}

/// Returns the digest of the services that receive streams, if a declaration is one of those.
pub fn digest((service, digest): &Version) -> Option<u64> {
    let is_routing = service.as_str() == ANY_SERVICE;
    is_routing.then(|| u64::from_str_radix(digest, 16).ok()).flatten()
}

impl Routing {
    /// Puts a document in force; what the former one said matters until a time.
    pub(super) fn replace(&mut self, now: Instant, until: Instant, document: &Document) {
        let streams = Streams::of(document);
        if streams == *self.streams {
            return;
        }
        if !self.streams.is_empty() {
            self.history.add(now, until, self.digest, Arc::clone(&self.streams));
        }
        self.undeclared = streams.moved(&self.declared);
        self.digest = streams.digest();
        self.streams = Arc::new(streams);
    }

    /// Returns what has to be declared; `None` if no service receives streams.
    pub(super) fn declaration(&self) -> Option<Version> {
        let version = || (name::Service::new(ANY_SERVICE), format_smolstr!("{:016x}", self.digest));
        (!self.streams.is_empty()).then(version)
    }

    /// Records that it is declared.
    pub(super) fn set_declared(&mut self) {
        self.declared = Arc::clone(&self.streams);
        self.undeclared.clear();
    }

    /// Forgets what is declared, as the store was restored.
    pub(super) fn reset(&mut self) {
        self.declared = Arc::default();
        self.undeclared = self.streams.moved(&self.declared);
    }

    /// Returns whether streams may begin at a service.
    pub(super) fn is_declared(&self, service: &name::Service) -> bool {
        !self.undeclared.contains(service)
    }

    /// Learns of services that receive streams as another entry has declared them; returns whether this was new.
    fn learn(&mut self, now: Instant, until: Instant, digest: u64, streams: Option<Streams>) -> bool {
        let is_known = self.contains(now, digest);
        match streams.filter(|_| !is_known) {
            Some(streams) => self.history.add(now, until, digest, Arc::new(streams)),
            None => return false,
        }
        true
    }

    fn contains(&self, now: Instant, digest: u64) -> bool {
        self.digest == digest || self.history.contains(now, digest)
    }
}

impl Control {
    /// Returns the services that receive streams, to be stored with their declaration, if it is still that.
    pub fn streams(&self, declaration: &Version) -> Option<Arc<Streams>> {
        let inner = self.inner.borrow();
        let is_own = digest(declaration) == Some(inner.routing.digest);
        is_own.then(|| Arc::clone(&inner.routing.streams))
    }

    /// Learns which services receive streams as the store contains it, each with its digest. Returns whether all are known.
    pub fn learn_streams(&self, declared: Vec<(u64, Option<Streams>)>) -> bool {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let until = now + inner.stream_lifetime();
        let digests: Vec<_> = declared.iter().map(|(digest, _)| *digest).collect();
        let mut is_new = false;
        for (digest, streams) in declared {
            is_new |= inner.routing.learn(now, until, digest, streams);
        }
        if is_new {
            inner.publish(&self.shared);
        }
        digests.iter().all(|digest| inner.routing.contains(now, *digest))
    }
}
