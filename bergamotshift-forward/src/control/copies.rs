//! Caches the document updates that are sent to other entries.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;

use crate::document::Difference;
use crate::document::Document;
use crate::peers::Transfer;
use crate::peers::Update;

/// Maximum number of differences between successive versions that are kept; entries that are further behind receive the
/// whole document.
const MAX_STEPS: usize = 8;

/// Recent differences between successive document versions, and the encoded updates that were built from them.
///
/// Sending the whole document for every change is too expensive: a change of one key costs 77 entries 300 kB each, and
/// saturates the slowest links while it spreads.
#[derive(Debug, Default)]
pub(super) struct Cache {
    steps: VecDeque<Difference>,
    /// Encoded updates, by the version that the receiver has.
    encoded: BTreeMap<u64, Bytes>,
}

impl Cache {
    /// Adds the differences that led to the document in force, and drops those that are no longer useful.
    pub(super) fn push_steps(&mut self, document: &Document, steps: Vec<Difference>) {
        self.encoded.clear();
        self.steps.extend(steps);
        // All differences together must be smaller than the document; older ones are dropped.
        let mut total = 0;
        let useful = self.steps.iter().rev().take(MAX_STEPS).take_while(|step| {
            total += step.changed_routes();
            total < document.routes.len().max(1)
        });
        let surplus = self.steps.len() - useful.count();
        self.steps.drain(..surplus);
    }

    /// Returns the encoded update for an entry that has `version`; `None` if it cannot be encoded.
    pub(super) fn update_from(&mut self, document: &Document, version: u64) -> Option<Bytes> {
        if let Some(encoded) = self.encoded.get(&version) {
            return Some(encoded.clone());
        }
        let update = match self.steps.iter().position(|step| step.before == version) {
            Some(first) => Update::Steps(self.steps.range(first..).map(Cow::Borrowed).collect()),
            None => Update::Whole(Cow::Borrowed(document)),
        };
        let encoded = Transfer::encode(&update, document).ok()?;
        self.encoded.insert(version, encoded.clone());
        Some(encoded)
    }
}
