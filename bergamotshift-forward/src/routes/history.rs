//! Services that receive streams, by the document in force and by others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::document::Document;
use crate::document::Kind;
use crate::document::Split;

/// Services that receive streams by a document: the shares of each of its routes, by host and prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Streams(BTreeMap<(SmolStr, SmolStr), Vec<Split>>);

fn served(splits: &[Split]) -> impl Iterator<Item = &name::Service> {
    let served = splits.iter().filter(|split| split.weight > 0);
    served.map(|split| &split.service)
}

impl Streams {
    /// Returns those of a document.
    pub fn of(document: &Document) -> Self {
        let routes = document.routes.iter().filter(|route| route.kind == Kind::Stream);
        let shares = routes.map(|route| {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            ((host, route.prefix.clone()), route.splits.clone())
        });
        Self(shares.collect())
    }

    /// Returns whether no service receives streams.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns a hash of them.
    pub fn digest(&self) -> u64 {
        // The buffer grows as needed, so this does not fail.
        xxh3_64(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Returns the services that receive streams which went elsewhere, or nowhere, by former ones.
    pub fn moved(&self, former: &Self) -> BTreeSet<name::Service> {
        let is_changed = |route: &(SmolStr, SmolStr)| self.0.get(route) != former.0.get(route);
        let routes = self.0.keys().chain(former.0.keys());
        let changed: BTreeSet<_> = routes.filter(|route| is_changed(route)).collect();
        // A route also gets the streams of a longer one that is gone.
        let is_affected = |(host, prefix): &(SmolStr, SmolStr)| {
            let mut longer = changed.range((host.clone(), prefix.clone())..);
            longer
                .next()
                .is_some_and(|(other, longer)| other == host && longer.starts_with(prefix.as_str()))
        };
        let affected = self.0.iter().filter(|(route, _)| is_affected(route));
        affected.flat_map(|(_, splits)| served(splits)).cloned().collect()
    }

    /// Returns the services that may begin a stream, by the hash of its attempt's identifier; `None` stands for any attempt.
    pub fn services(&self, host: &str, path: &str, attempt: Option<u64>) -> Vec<&name::Service> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let host = SmolStr::new(host.to_ascii_lowercase());
        let mut prefixes = path.rmatch_indices('/').map(|(index, _)| SmolStr::new(&path[..=index]));
        let Some(splits) = prefixes.find_map(|prefix| self.0.get(&(host.clone(), prefix))) else {
            return Vec::new();
        };
        match attempt {
            Some(attempt) => Split::choose(splits, attempt).into_iter().collect(),
            None => served(splits).collect(),
        }
    }
}

/// Services that received streams by other documents, while streams go on that may have begun there.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Each with its digest, and the time until which it matters.
    former: Vec<(Instant, u64, Arc<Streams>)>,
}

impl History {
    /// Records which services receive streams by another document, given with their digest; they matter until a time.
    pub fn add(&mut self, now: Instant, until: Instant, digest: u64, streams: Arc<Streams>) {
        self.former.retain(|(until, known, _)| *until > now && *known != digest);
        self.former.push((until, digest, streams));
    }

    /// Returns whether those with a digest are known and matter.
    pub fn contains(&self, now: Instant, digest: u64) -> bool {
        let mut former = self.former.iter();
        former.any(|(until, known, _)| *until > now && *known == digest)
    }

    /// Returns those that matter.
    pub fn streams(&self, now: Instant) -> impl Iterator<Item = &Streams> {
        let former = self.former.iter().filter(move |(until, ..)| *until > now);
        former.map(|(.., streams)| &**streams)
    }
}
