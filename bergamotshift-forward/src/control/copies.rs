//! What other entries are given of the document.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;

use crate::document::Difference;
use crate::document::Document;
use crate::peers::Update;

/// How many steps from version to version are kept; entries that are further behind get the whole document.
const MAX_STEPS: usize = 8;

/// What changed from version to version lately, and what others were given of it.
///
/// Failure: each version of the document goes to each entry as a whole, however little it changes. Symptom: a change of one
/// key costs 77 entries 300 kB each, and fills the links of the narrowest while it goes round.
#[derive(Debug, Default)]
pub(super) struct UpdateCache {
    steps: VecDeque<Difference>,
    /// What was given to others, by the version that they had.
    encoded: BTreeMap<u64, Bytes>,
}

impl UpdateCache {
    /// Notes the steps that led to the document in force.
    pub(super) fn push_steps(&mut self, document: &Document, steps: Vec<Difference>) {
        self.encoded.clear();
        self.steps.extend(steps);
        // Together they must stay shorter than the document; those before are of no use.
        let mut total = 0;
        let useful = self.steps.iter().rev().take(MAX_STEPS).take_while(|step| {
            total += step.written();
            total < document.routes.len().max(1)
        });
        let surplus = self.steps.len() - useful.count();
        self.steps.drain(..surplus);
    }

    /// Returns what an entry lacks that has a version; `None` when it cannot be encoded.
    pub(super) fn update_from(&mut self, document: &Document, version: u64) -> Option<Bytes> {
        if let Some(encoded) = self.encoded.get(&version) {
            return Some(encoded.clone());
        }
        let update = match self.steps.iter().position(|step| step.before == version) {
            Some(first) => Update::Steps(self.steps.range(first..).map(Cow::Borrowed).collect()),
            None => Update::Whole(Cow::Borrowed(document)),
        };
        let encoded = Bytes::from(postcard::to_stdvec(&update).ok()?);
        self.encoded.insert(version, encoded.clone());
        Some(encoded)
    }
}
