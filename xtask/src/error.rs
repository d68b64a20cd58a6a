//! Why a chore failed.

use std::path::PathBuf;

use thiserror::Error;

/// Why a chore failed.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// A file or folder can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// The system's word.
        source: std::io::Error,
    },
    /// A check found something; each finding was printed.
    #[error("{count} findings of {check}")]
    Findings {
        /// The check's name.
        check: &'static str,
        /// How many findings there are.
        count: usize,
    },
    /// A step of CI failed or couldn't start.
    #[error("step failed: {0}")]
    Step(String),
}
