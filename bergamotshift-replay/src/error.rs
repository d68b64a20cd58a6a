//! Errors of the replay.

use thiserror::Error as ThisError;

/// Why a scenario can't be replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// No routing policy registered under this name.
    #[error("no routing policy is called {0:?}")]
    Policy(String),
}
