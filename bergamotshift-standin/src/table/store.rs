//! The rows, and what transactions and queries do to them.

use core::ops::Bound;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use smol_str::SmolStr;

use super::failure::Failure;
use super::operation::Effect;
use super::operation::Operation;

/// How long a token keeps a repeated transaction from a second effect.
const TOKEN_LIFE: Duration = Duration::from_mins(10);

/// All rows of the service.
#[derive(Debug, Default)]
pub(super) struct Store {
    rows: BTreeMap<Key, Row>,
    tokens: BTreeMap<SmolStr, Used>,
}

/// A token that a successful transaction used.
#[derive(Debug)]
struct Used {
    operations: Vec<Operation>,
    at: Instant,
}

impl Store {
    /// Carries out all operations, or none of them.
    pub(super) fn transact(
        &mut self,
        operations: Vec<Operation>,
        token: Option<SmolStr>,
        now: Instant,
    ) -> Result<(), Failure> {
        self.tokens.retain(|_, used| now.duration_since(used.at) < TOKEN_LIFE);
        if let Some(used) = token.as_ref().and_then(|token| self.tokens.get(token)) {
            return if used.operations == operations {
                Ok(())
            } else {
                Err(Failure::Mismatch)
            };
        }
        let keys: BTreeSet<_> = operations.iter().map(|operation| &operation.key).collect();
        if keys.len() != operations.len() {
            return Err(Failure::validation(
                "a transaction cannot include two operations on one item",
            ));
        }
        let failed: Vec<_> = operations
            .iter()
            .map(|operation| !operation.holds(self.rows.get(&operation.key)))
            .collect();
        if failed.contains(&true) {
            return Err(Failure::Cancelled(failed));
        }
        for operation in &operations {
            self.apply(operation);
        }
        if let Some(token) = token {
            self.tokens.insert(token, Used { operations, at: now });
        }
        Ok(())
    }

    /// Returns a row.
    pub(super) fn get(&self, key: &Key) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns the rows of a partition after a sort key.
    pub(super) fn query(&self, partition: &SmolStr, after: Option<&str>) -> impl Iterator<Item = (&Key, &Row)> {
        let start = match after {
            Some(sort) => Bound::Excluded(Key::new(partition, sort)),
            None => Bound::Included(Key::new(partition, "")),
        };
        self.rows
            .range((start, Bound::Unbounded))
            .take_while(move |(key, _)| key.partition == *partition)
    }

    /// Returns all rows.
    pub(super) fn rows(&self) -> Vec<(Key, Row)> {
        self.rows.iter().map(|(key, row)| (key.clone(), row.clone())).collect()
    }

    fn apply(&mut self, operation: &Operation) {
        match &operation.effect {
            Effect::Put(row) => drop(self.rows.insert(operation.key.clone(), row.clone())),
            Effect::Update(body) => {
                let row = self.rows.entry(operation.key.clone()).or_default();
                row.version += 1;
                row.body.clone_from(body);
            }
            Effect::Delete => drop(self.rows.remove(&operation.key)),
            Effect::Nothing => {}
        }
    }
}
