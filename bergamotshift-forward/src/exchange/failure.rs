//! Why an exchange failed, told apart by what may be concluded.

use thiserror::Error;

/// Why an exchange brought no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Failure {
    /// No connection came about, so no byte of the request left.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection ended or was reset after it was opened.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The endpoint was silent for too long.
    #[error("the endpoint is silent")]
    Silent,
    /// A long answer stopped coming, or hardly moved.
    #[error("it came too slowly, and stopped after {received} bytes")]
    Slow {
        /// How many bytes had come.
        received: usize,
    },
    /// The answer is no HTTP, or belongs to another request.
    #[error("the answer is malformed: {0}")]
    Malformed(&'static str),
}

impl Failure {
    /// Returns whether the endpoint cannot have seen the request.
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}
