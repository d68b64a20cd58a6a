//! Files of the work tree by extension.

use std::ffi::OsStr;
use std::path::Path;
use std::path::PathBuf;

use crate::error::Error;

/// Folders that hold nothing of ours.
const SKIPPED: [&str; 2] = ["target", ".git"];

/// Returns all files below `root` with this extension, sorted.
///
/// # Errors
///
/// Returns [`Error::Read`] when a folder can't be listed.
pub fn files(root: &Path, extension: &str) -> Result<Vec<PathBuf>, Error> {
    let mut found = Vec::new();
    let mut folders = vec![root.to_path_buf()];
    while let Some(folder) = folders.pop() {
        for path in entries(&folder)? {
            if path.is_dir() {
                if !skipped(&path) {
                    folders.push(path);
                }
            } else if path.extension() == Some(OsStr::new(extension)) {
                found.push(path);
            }
        }
    }
    found.sort();
    Ok(found)
}

fn entries(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let read = |source| Error::Read {
        path: folder.to_path_buf(),
        source,
    };
    let listing = std::fs::read_dir(folder).map_err(read)?;
    listing
        .map(|entry| entry.map(|entry| entry.path()).map_err(read))
        .collect()
}

fn skipped(folder: &Path) -> bool {
    SKIPPED.iter().any(|name| folder.file_name() == Some(OsStr::new(name)))
}

/// Reads a file as text.
///
/// # Errors
///
/// Returns [`Error::Read`] when the file can't be read as text.
pub fn text(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_path_buf(),
        source,
    })
}
