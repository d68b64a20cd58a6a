//! Reads a folder of TOML files into one configuration.

use std::fs;
use std::path::Path;

use smol_str::SmolStr;

mod error;
mod file;

pub use error::Error;
pub use error::Problem;

use crate::config::Config;

/// Ends the names of the files that count.
const SUFFIX: &str = ".toml";

/// Reads the TOML files of a folder, in the order of their names.
///
/// Hidden files and other suffixes are passed over, so an editor's spare copy changes nothing.
///
/// # Errors
///
/// Fails when the folder or one of its files can't be read as UTF-8 text.
pub fn read(path: &Path) -> Result<Vec<(SmolStr, String)>, Error> {
    let read_error = |source| Error::Read {
        path: path.to_path_buf(),
        source,
    };
    let mut files = Vec::new();
    for item in fs::read_dir(path).map_err(read_error)? {
        let item = item.map_err(read_error)?;
        let name = item.file_name();
        let Some(name) = name.to_str() else { continue };
        if name.starts_with('.') || !name.ends_with(SUFFIX) {
            continue;
        }
        let text = fs::read_to_string(item.path()).map_err(|source| Error::Read {
            path: item.path(),
            source,
        })?;
        files.push((SmolStr::new(name), text));
    }
    files.sort();
    Ok(files)
}

/// Reads, merges and checks a folder.
///
/// # Errors
///
/// Fails when a file can't be read, or with every problem found in the files.
pub fn load(path: &Path) -> Result<Config, Error> {
    parse(&read(path)?)
}

/// Merges and checks files given as names and texts, in the order of their names.
///
/// # Errors
///
/// Fails with every problem found, each with file, line and key.
pub fn parse<N: AsRef<str>, T: AsRef<str>>(files: &[(N, T)]) -> Result<Config, Error> {
    let mut files: Vec<_> = files
        .iter()
        .map(|(name, text)| (name.as_ref(), text.as_ref()))
        .collect();
    files.sort_unstable();
    let mut config = Config::default();
    let mut problems = Vec::new();
    for (name, text) in files {
        match file::File::parse(name, text) {
            Ok(file) => file.merge(&mut config),
            Err(problem) => problems.push(*problem),
        }
    }
    if problems.is_empty() {
        Ok(config)
    } else {
        Err(Error::Invalid(problems))
    }
}
