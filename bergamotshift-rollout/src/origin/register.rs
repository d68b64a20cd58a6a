//! Versions at which an entry may let streams begin.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Versions to declare in the store, with the incarnations of endpoints that were known when this was decided.
pub type Declaration<V> = BTreeMap<V, BTreeSet<u64>>;

/// State of a version that has endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct State {
    /// Hashes of the incarnations of its endpoints.
    incarnations: BTreeSet<u64>,
    is_declared: bool,
}

/// Versions whose endpoints an entry knows, and which of them are declared in the store.
///
/// A version stays declared as long as one of the incarnations is present for which that was confirmed. When all of them have
/// been replaced, the version may have been absent in between, and its row may have been removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Register<V> {
    versions: BTreeMap<V, State>,
}

impl<V> Default for Register<V> {
    fn default() -> Self {
        Self {
            versions: BTreeMap::new(),
        }
    }
}

impl<V: Clone + Ord> Register<V> {
    /// Replaces the endpoints that are present, each given by its version and the hash of its incarnation.
    pub fn update(&mut self, present: impl IntoIterator<Item = (V, u64)>) {
        let mut versions: BTreeMap<V, State> = BTreeMap::new();
        for (version, incarnation) in present {
            versions.entry(version).or_default().incarnations.insert(incarnation);
        }
        for (version, state) in &mut versions {
            let before = self.versions.get(version).filter(|before| before.is_declared);
            state.is_declared = before.is_some_and(|before| !before.incarnations.is_disjoint(&state.incarnations));
        }
        self.versions = versions;
    }

    /// Returns the versions that have to be declared; `None` if there are none.
    pub fn undeclared(&self) -> Option<Declaration<V>> {
        let undeclared = self.versions.iter().filter(|(_, state)| !state.is_declared);
        let declaration: Declaration<V> = undeclared
            .map(|(version, state)| (version.clone(), state.incarnations.clone()))
            .collect();
        (!declaration.is_empty()).then_some(declaration)
    }

    /// Records that the store has acknowledged a declaration.
    pub fn confirm(&mut self, declaration: &Declaration<V>) {
        for (version, incarnations) in declaration {
            if let Some(state) = self.versions.get_mut(version) {
                state.is_declared |= !state.incarnations.is_disjoint(incarnations);
            }
        }
    }

    /// Records the versions that are declared according to another entry, which knows the same endpoints and the same era of
    /// the store.
    pub fn adopt(&mut self, versions: &[V]) {
        for version in versions {
            if let Some(state) = self.versions.get_mut(version) {
                state.is_declared = true;
            }
        }
    }

    /// Forgets what is declared, as the store was restored from a copy that may lack it.
    pub fn reset(&mut self) {
        for state in self.versions.values_mut() {
            state.is_declared = false;
        }
    }

    /// Returns whether streams may begin at a version.
    pub fn is_declared(&self, version: &V) -> bool {
        self.versions.get(version).is_some_and(|state| state.is_declared)
    }

    /// Returns the versions at which streams may begin.
    pub fn declared(&self) -> impl Iterator<Item = &V> {
        let declared = self.versions.iter().filter(|(_, state)| state.is_declared);
        declared.map(|(version, _)| version)
    }
}
