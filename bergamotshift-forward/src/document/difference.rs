//! What a version of the document has that an earlier one has not.
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
use super::Organisation;
use super::Route;
use super::Service;

/// Why a difference cannot be applied to a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("a difference from version {before} does not fit version {version}")]
pub struct Mismatch {
    /// The version that it starts from.
    pub before: u64,
    /// The version that it was applied to.
    pub version: u64,
}

/// Some of the later version's routes, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum Run {
    /// Routes that stand next to each other in the earlier version too.
    Kept {
        /// The place of the first one there.
        first: u32,
        /// How many.
        count: u32,
    },
    /// Routes that are new or changed.
    Written(Vec<Route>),
}

/// What a version of the document has that an earlier one has not. Of thousands of routes a version changes a few, so they
/// are told one by one; the rest of a document is small and told whole.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// The earlier version.
    pub before: u64,
    /// The later version.
    pub version: u64,
    routes: Vec<Run>,
    services: Vec<Service>,
    organisations: Vec<Organisation>,
    bounds: Bounds,
}

impl Difference {
    /// Works out what `after` has that `before` has not.
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

    /// Returns how many routes it tells.
    pub fn changed_routes(&self) -> usize {
        let written = self.routes.iter().map(|run| match run {
            Run::Kept { .. } => 0,
            Run::Written(routes) => routes.len(),
        });
        written.sum()
    }

    /// Makes the later version out of the earlier one.
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

fn runs(before: &[Route], after: &[Route]) -> Vec<Run> {
    let places: HashMap<&str, usize> = before
        .iter()
        .enumerate()
        .map(|(place, route)| (route.name.as_str(), place))
        .collect();
    let kept_at = |route: &Route| {
        let place = *places.get(route.name.as_str())?;
        (before[place] == *route).then(|| u32::try_from(place).ok()).flatten()
    };
    let mut runs = Vec::new();
    for route in after {
        match (kept_at(route), runs.last_mut()) {
            (Some(place), Some(Run::Kept { first, count })) if *first + *count == place => *count += 1,
            (Some(first), _) => runs.push(Run::Kept { first, count: 1 }),
            (None, Some(Run::Written(written))) => written.push(route.clone()),
            (None, _) => runs.push(Run::Written(vec![route.clone()])),
        }
    }
    runs
}
