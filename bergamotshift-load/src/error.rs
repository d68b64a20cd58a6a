//! What can go wrong before, during and after a run.

use core::net::SocketAddr;
use std::io;

use thiserror::Error;

use crate::fault;
use crate::ledger;

/// A run could not be made, or its report not be written.
///
/// A broken promise of the system under load is no error here: the report tells of it.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// The address is not on this machine; load is sent to loopback addresses alone.
    #[error("{0} is not a loopback address; load goes to loopback addresses only")]
    NotLoopback(SocketAddr),
    /// A setting is missing or out of bounds.
    #[error("{setting}: {reason}")]
    Setting {
        /// The setting's name.
        setting: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// A thread of the generator could not start, or panicked.
    #[error("a thread of the load generator failed: {0}")]
    Thread(#[source] io::Error),
    /// The fault plan is wrong.
    #[error(transparent)]
    Fault(#[from] fault::Error),
    /// A ledger could not be read.
    #[error(transparent)]
    Ledger(#[from] ledger::Error),
    /// A plot could not be drawn.
    #[error("the plot could not be drawn: {0}")]
    Plot(String),
    /// The report could not be put into words.
    #[error("the report could not be written as JSON")]
    Json(#[from] serde_json::Error),
}
