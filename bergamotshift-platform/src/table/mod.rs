//! The transactional table service.

use core::fmt::Debug;

use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use smol_str::SmolStr;

use crate::Error;
use crate::Future;

/// Rows of a partition, in the order of their sort keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The sort keys and rows.
    pub rows: Vec<(SmolStr, Row)>,
    /// Where to go on, when the partition holds more.
    pub next: Option<SmolStr>,
}

/// A transactional table service with consistent reads.
pub trait Table: Debug {
    /// Carries out all writes or none of them.
    ///
    /// The ending is told as the sender can know it: [`Ending::Unknown`] whenever an answer was lost, also when the
    /// platform was slower than the timeout. At most 100 writes go into one transaction.
    fn transact(&self, writes: Vec<Write>) -> Future<'_, Ending>;

    /// Reads rows, each as of its last write; absent rows are `None`, in the order of the keys.
    ///
    /// # Errors
    ///
    /// Returns an error when not all rows could be read.
    fn get(&self, keys: Vec<Key>) -> Future<'_, Result<Vec<Option<Row>>, Error>>;

    /// Lists a partition after the sort key `after`, at most `limit` rows.
    ///
    /// # Errors
    ///
    /// Returns an error when the page could not be read.
    fn query(&self, partition: SmolStr, after: Option<SmolStr>, limit: u32) -> Future<'_, Result<Page, Error>>;
}
