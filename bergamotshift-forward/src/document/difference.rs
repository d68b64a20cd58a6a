//! Differences between two versions of the document.
//!
//! ```
//! use bergamotshift_forward::document::Difference;
//! use bergamotshift_forward::document::Document;
//!
//! let before = Document { version: 7, ..Document::default() };
//! let after = Document { version: 9, ..Document::default() };
//! let difference = Difference::between(&before, &after);
//! assert_eq!((difference.before, difference.changed_routes()), (7, 0));
//! assert_eq!(difference.apply(&before), Ok(after));
//! ```

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::Bounds;
use super::Document;
use super::Organisations;
use super::Route;
use super::Service;

/// Error of a difference that is applied to another version than its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("a difference from version {before} does not fit version {version}")]
pub struct Mismatch {
    /// The version that the difference starts from.
    pub before: u64,
    /// The version of the document that it was applied to.
    pub version: u64,
}

/// Consecutive routes of the later version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum Run {
    /// Routes that are consecutive in the earlier version too.
    Kept {
        /// The index of the first one in the earlier version.
        first: u32,
        /// The number of routes.
        count: u32,
    },
    /// Routes that are new or changed.
    Written(Vec<Route>),
}

/// The changes from one version of the document to a later one.
///
/// A version changes few of thousands of routes, so only changed routes are included. The rest of a document is small
/// and is included as a whole.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// The earlier version.
    pub before: u64,
    /// The later version.
    pub version: u64,
    routes: Vec<Run>,
    services: Vec<Service>,
    organisations: Organisations,
    bounds: Bounds,
}

impl Difference {
    /// Computes the difference from `before` to `after`.
    pub fn between(before: &Document, after: &Document) -> Self {
        Self {
            before: before.version,
            version: after.version,
            routes: runs(&before.routes, &after.routes),
            services: after.services.clone(),
            organisations: after.organisations.clone(),
            bounds: after.bounds,
        }
    }

    /// Returns the number of routes that the difference contains.
    pub fn changed_routes(&self) -> usize {
        let written = self.routes.iter().map(|run| match run {
            Run::Kept { .. } => 0,
            Run::Written(routes) => routes.len(),
        });
        written.sum()
    }

    /// Applies the difference to the earlier version, and returns the later one.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] when `before` is not the version that the difference starts from.
    pub fn apply(&self, before: &Document) -> Result<Document, Mismatch> {
        let mismatch = Mismatch {
            before: self.before,
            version: before.version,
        };
        if before.version != self.before {
            return Err(mismatch);
        }
        let mut routes = Vec::with_capacity(before.routes.len() + self.changed_routes());
        for run in &self.routes {
            match run {
                Run::Kept { first, count } => {
                    let (first, count) = (*first as usize, *count as usize);
                    let kept = before.routes.get(first..first.saturating_add(count)).ok_or(mismatch)?;
                    routes.extend_from_slice(kept);
                }
                Run::Written(written) => routes.extend_from_slice(written),
            }
        }
        Ok(Document {
            version: self.version,
            routes,
            services: self.services.clone(),
            organisations: self.organisations.clone(),
            bounds: self.bounds,
        })
    }
}

/// Splits the later version's routes into runs of kept and of written ones.
fn runs(before: &[Route], after: &[Route]) -> Vec<Run> {
    let indexes: HashMap<&str, usize> = before
        .iter()
        .enumerate()
        .map(|(index, route)| (route.name.as_str(), index))
        .collect();
    let kept_index = |route: &Route| {
        let index = *indexes.get(route.name.as_str())?;
        (before[index] == *route).then(|| u32::try_from(index).ok()).flatten()
    };
    let mut runs = Vec::new();
    for route in after {
        match (kept_index(route), runs.last_mut()) {
            (Some(index), Some(Run::Kept { first, count })) if *first + *count == index => *count += 1,
            (Some(first), _) => runs.push(Run::Kept { first, count: 1 }),
            (None, Some(Run::Written(written))) => written.push(route.clone()),
            (None, _) => runs.push(Run::Written(vec![route.clone()])),
        }
    }
    runs
}
