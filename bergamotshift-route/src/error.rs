//! Errors of the control side, which builds views.

use thiserror::Error as ThisError;

/// Why a registry refused a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// A set of names is full; its size bounds what one view can tell apart.
    #[error("more than {limit} {what}")]
    Full {
        /// What was counted.
        what: &'static str,
        /// How many fit.
        limit: usize,
    },
    /// The key belongs to an endpoint that was removed.
    #[error("the endpoint is not registered")]
    Unknown,
}
