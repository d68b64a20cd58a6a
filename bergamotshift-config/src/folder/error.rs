//! Errors of a folder.

use core::fmt;
use std::io;
use std::path::PathBuf;

use smol_str::SmolStr;
use thiserror::Error;

/// Error that prevents a folder from being read as a configuration.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The folder or a file cannot be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// Path of the folder or file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The folder contains no file whose name ends in `.toml`.
    #[error("the folder contains no TOML file; to remove all items, keep one TOML file without items")]
    Empty,
    /// The content of the files is not a valid configuration.
    #[error("{}", Lines(.0))]
    Invalid(Vec<Problem>),
}

/// One error in a file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file.
    pub file: SmolStr,
    /// Line number, counted from 1.
    pub line: usize,
    /// Key, such as `service.zones`; empty if the text is not valid TOML.
    pub key: SmolStr,
    /// Description of the problem.
    pub message: String,
    /// Suggestion of what may have been meant.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " ({hint})"),
            None => Ok(()),
        }
    }
}

struct Lines<'a>(&'a [Problem]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
