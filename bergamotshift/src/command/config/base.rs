//! The version that a folder started from, kept in a hidden file beside its files.
//!
//! Failure: two operators change the same file; the second one's folder is older than the first one's change. Symptom:
//! the first change is gone. The base tells which files the operator truly changed, so that a merge can tell a change
//! from an old copy.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use crate::config::accept::record::Version;
use crate::error::Error;

/// The file's name; hidden files of a folder are no configuration.
const FILE: &str = ".bergamotshift-version";

fn path(folder: &str) -> PathBuf {
    Path::new(folder).join(FILE)
}

/// Returns the version that the folder started from, if it is known.
///
/// # Errors
///
/// Returns why the file can't be read.
pub fn load(folder: &str) -> Result<Option<Version>, Error> {
    let path = path(folder);
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Error::Failed(format!("{}: {error}", path.display()))),
    };
    let number = text.trim().parse();
    let number = number.map_err(|error| Error::Failed(format!("{}: {error}", path.display())))?;
    Ok(Some(Version::new(number)))
}

/// Notes the version that the folder holds now.
///
/// # Errors
///
/// Returns why the file can't be written.
pub fn save(folder: &str, version: Version) -> Result<(), Error> {
    let path = path(folder);
    let written = std::fs::write(&path, format!("{}\n", version.get()));
    written.map_err(|error| Error::Failed(format!("{}: {error}", path.display())))
}
