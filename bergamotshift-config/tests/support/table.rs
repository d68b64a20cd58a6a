//! The platform's table, in memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;

/// Rows, and transactions over them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Table {
    rows: Arc<BTreeMap<Key, Row>>,
}

impl Table {
    /// Runs a transaction: all of it, or nothing.
    pub fn transact(&mut self, writes: &[Write]) -> Ending {
        let version = |key: &Key| self.rows.get(key).map(|row| row.version);
        let fails = |write: &Write| match write.condition {
            Condition::Absent => version(&write.key).is_some(),
            Condition::Version(expected) => version(&write.key) != Some(expected),
            Condition::Any => false,
        };
        let conflicts: Vec<_> = (0..writes.len()).filter(|place| fails(&writes[*place])).collect();
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

    /// Returns the rows of a partition, in order.
    pub fn partition<'a>(&'a self, partition: &'a str) -> impl Iterator<Item = (&'a Key, &'a Row)> {
        self.rows.iter().filter(move |(key, _)| key.partition == partition)
    }
}
