//! What can be wrong with a folder.

use core::fmt;
use std::io;
use std::path::PathBuf;

use smol_str::SmolStr;
use thiserror::Error;

/// A folder that gives no configuration.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The folder or a file can't be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// The folder or file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// The folder holds no file that ends in `.toml`.
    #[error("the folder holds no TOML file; to take everything away, say so in one")]
    Empty,
    /// The files' content is not a configuration.
    #[error("{}", Lines(.0))]
    Invalid(Vec<Problem>),
}

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file's name.
    pub file: SmolStr,
    /// The line, counted from 1.
    pub line: usize,
    /// The key, such as `service.zones`; empty when the text is no TOML at all.
    pub key: SmolStr,
    /// What is wrong.
    pub message: String,
    /// What may have been meant.
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
        for (place, problem) in self.0.iter().enumerate() {
            if place > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
