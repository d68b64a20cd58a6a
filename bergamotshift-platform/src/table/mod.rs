//! Transactional table service.

use core::fmt::Debug;

use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use smol_str::SmolStr;

use crate::Error;
use crate::Future;

/// Page of rows of a partition, ordered by sort key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Sort keys and rows.
    pub rows: Vec<(SmolStr, Row)>,
    /// Sort key to continue after, if the partition holds more rows.
    pub next: Option<SmolStr>,
}

/// Transactional table service with consistent reads.
pub trait Table: Debug {
    /// Applies all writes or none of them.
    ///
    /// Returns [`Ending::Unknown`] whenever the answer was lost, which includes a platform that was slower than the
    /// timeout. A transaction holds at most 100 writes.
    fn transact(&self, writes: Vec<Write>) -> Future<'_, Ending>;

    /// Returns how often the table was restored from a copy of earlier rows, as far as its answers told.
    ///
    /// The default is for tables whose rows never go back.
    fn era(&self) -> u64 {
        0
    }

    /// Reads the latest version of rows, in the order of the keys; a missing row is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if any of the rows could not be read.
    fn get(&self, keys: Vec<Key>) -> Future<'_, Result<Vec<Option<Row>>, Error>>;

    /// Lists up to `limit` rows of a partition whose sort keys follow `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the page could not be read.
    fn query(&self, partition: SmolStr, after: Option<SmolStr>, limit: u32) -> Future<'_, Result<Page, Error>>;
}
