//! Object store.

use core::fmt::Debug;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::Error;
use crate::Future;

/// Precondition of writing an object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Precondition {
    /// The object is written unconditionally.
    #[default]
    None,
    /// No object with this key exists.
    Absent,
    /// The current object has this tag.
    Match(SmolStr),
}

/// Object as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Object {
    /// Content of the object.
    pub body: Bytes,
    /// Entity tag (`ETag`), which changes with the content.
    pub tag: SmolStr,
}

/// Store of objects, which are read and written as a whole.
pub trait Objects: Debug {
    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the object could not be read or its absence could not be confirmed.
    fn get(&self, key: SmolStr) -> Future<'_, Result<Option<Object>, Error>>;

    /// Writes an object and returns its tag.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the precondition does not hold, and [`Error::Unknown`] if the object may have
    /// been written.
    fn put(&self, key: SmolStr, body: Bytes, precondition: Precondition) -> Future<'_, Result<SmolStr, Error>>;

    /// Deletes an object; succeeds if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the object may have been deleted.
    fn delete(&self, key: SmolStr) -> Future<'_, Result<(), Error>>;

    /// Lists up to `limit` keys that start with `prefix` and sort after `after`, in ascending order.
    ///
    /// # Errors
    ///
    /// Returns an error if the list could not be read.
    fn list(&self, prefix: SmolStr, after: Option<SmolStr>, limit: u32) -> Future<'_, Result<Vec<SmolStr>, Error>>;
}
