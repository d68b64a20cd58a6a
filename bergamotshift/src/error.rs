//! Errors of the command line, each with the exit code it leads to.

use std::process::ExitCode;

use thiserror::Error;

use crate::setting;

/// The exit code of a wrong or missing setting.
const USAGE: u8 = 2;

/// Why a command ended without doing its job.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// The command line can't be read.
    #[error("{0}; `bergamotshift --help` lists the commands")]
    Usage(String),
    /// A setting is wrong or missing.
    #[error(transparent)]
    Setting(#[from] setting::Error),
    /// The command ran and failed.
    #[error("{0}")]
    Failed(String),
}

impl Error {
    /// Makes the error of a command that ran and failed.
    pub fn failed(cause: &dyn core::fmt::Display) -> Self {
        Self::Failed(cause.to_string())
    }

    /// Returns the exit code: 2 for what the operator can correct on the command line, 1 for the rest.
    pub fn code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Setting(_) => ExitCode::from(USAGE),
            Self::Failed(_) => ExitCode::FAILURE,
        }
    }
}
