//! Errors of the [`Registry`](crate::registry::Registry).

use thiserror::Error as ThisError;

/// An error of a registry operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// A table is full. Its capacity bounds how many names or endpoints one view can distinguish.
    #[error("more than {limit} {what}")]
    Full {
        /// Plural name of the items in the table.
        what: &'static str,
        /// Capacity of the table.
        limit: usize,
    },
    /// The key refers to an endpoint that was removed.
    #[error("the endpoint is not registered")]
    Unknown,
}
