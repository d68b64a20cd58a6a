//! Fields at the end of a frame that readers and writers of another version of the software do not know.
//!
//! A frame is the sequence of its fields without names or lengths. A reader ignores the bytes after the last field that
//! it knows, and takes defaults for the fields that a shorter frame lacks.

use serde::Deserialize;
use serde::Deserializer;

/// Reads a field at the end of a frame; returns its default if the frame ends before it.
///
/// # Errors
///
/// Returns no error: what cannot be read counts as absent.
pub fn read<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(deserializer: D) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

/// Returns whether a field has its default, so that a frame need not contain it.
pub fn is_default<T: Default + PartialEq>(field: &T) -> bool {
    *field == T::default()
}
