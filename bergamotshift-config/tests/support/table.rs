//! In-memory table of the platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;

/// Table of rows with transactions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Table {
    rows: Arc<BTreeMap<Key, Row>>,
}

impl Table {
    /// Performs a transaction atomically.
    pub fn transact(&mut self, writes: &[Write]) -> Ending {
        let version = |key: &Key| self.rows.get(key).map(|row| row.version);
        let conflicts_with = |write: &Write| match write.condition {
            Condition::Absent => version(&write.key).is_some(),
            Condition::Version(expected) => version(&write.key) != Some(expected),
            Condition::Any => false,
        };
        let conflicts: Vec<_> = (0..writes.len())
            .filter(|index| conflicts_with(&writes[*index]))
            .collect();
        if !conflicts.is_empty() {
            return Ending::Conflict(conflicts);
        }
        let rows = Arc::make_mut(&mut self.rows);
        for write in writes {
            match &write.change {
                Change::Put(body) => {
                    let row = rows.entry(write.key.clone()).or_default();
                    row.version += 1;
                    row.body.clone_from(body);
                }
                Change::Delete => {
                    rows.remove(&write.key);
                }
                Change::Check => {}
            }
        }
        Ending::Applied
    }

    /// Reads one row.
    pub fn get(&self, key: &Key) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    /// Returns the rows of a partition, ordered by key.
    pub fn partition<'a>(&'a self, partition: &'a str) -> impl Iterator<Item = (&'a Key, &'a Row)> {
        self.rows.iter().filter(move |(key, _)| key.partition == partition)
    }
}
