//! The object store.

use core::fmt::Debug;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::Error;
use crate::Future;

/// What must hold for an object to be written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Precondition {
    /// Nothing.
    #[default]
    None,
    /// There is no object of that key.
    Absent,
    /// The object is the one with this tag.
    Match(SmolStr),
}

/// An object as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Object {
    /// Its content.
    pub body: Bytes,
    /// Its tag, which changes with its content.
    pub tag: SmolStr,
}

/// A store of whole objects under keys.
pub trait Objects: Debug {
    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when it is not known whether there is one.
    fn get(&self, key: SmolStr) -> Future<'_, Result<Option<Object>, Error>>;

    /// Writes an object and returns its tag.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] when the precondition does not hold, and [`Error::Unknown`] when the object may
    /// have been written.
    fn put(&self, key: SmolStr, body: Bytes, precondition: Precondition) -> Future<'_, Result<SmolStr, Error>>;

    /// Deletes an object; one that does not exist counts as deleted.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the object may have been deleted.
    fn delete(&self, key: SmolStr) -> Future<'_, Result<(), Error>>;

    /// Lists keys that begin with `prefix`, after the key `after`, in order, at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error when the list could not be read.
    fn list(&self, prefix: SmolStr, after: Option<SmolStr>, limit: u32) -> Future<'_, Result<Vec<SmolStr>, Error>>;
}
