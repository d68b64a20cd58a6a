//! Parser and validation of a folder of TOML files.

use std::fs;
use std::path::Path;

use smol_str::SmolStr;

mod check;
mod draft;
mod error;
mod file;
mod hint;
mod source;

pub use error::Error;
pub use error::Problem;

use draft::Draft;
use draft::Report;
use file::File;
use source::Source;

use crate::config::Config;

/// Suffix of the names of the files that are read.
const SUFFIX: &str = ".toml";

/// Reads the TOML files of a folder and returns names and texts, ordered by name.
///
/// Hidden files and files with other suffixes are ignored, so that backup copies of an editor have no effect.
///
/// # Errors
///
/// Returns an error if the folder or one of its files cannot be read as UTF-8 text.
pub fn read(path: &Path) -> Result<Vec<(SmolStr, String)>, Error> {
    let to_error = |source| Error::Read {
        path: path.to_path_buf(),
        source,
    };
    let mut files = Vec::new();
    for item in fs::read_dir(path).map_err(to_error)? {
        let item = item.map_err(to_error)?;
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

/// Reads, merges and validates a folder.
///
/// # Errors
///
/// Returns an error if a file cannot be read, or all problems found in the files.
pub fn load(path: &Path) -> Result<Config, Error> {
    parse(&read(path)?)
}

/// Merges and validates files given as names and texts, in the order of their names.
///
/// # Errors
///
/// Returns all problems, each with file, line and key.
pub fn parse<N: AsRef<str>, T: AsRef<str>>(files: &[(N, T)]) -> Result<Config, Error> {
    Parser::default().parse(files)
}

/// Parser of a folder, with what it knows beyond the files.
#[derive(Clone, Copy, Debug, Default)]
pub struct Parser<'a> {
    /// Names of the endpoint adapters that exist; `None` accepts any name.
    pub adapters: Option<&'a [&'a str]>,
}

impl Parser<'_> {
    /// Merges and validates files given as names and texts, in the order of their names.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with file, line and key.
    pub fn parse<N: AsRef<str>, T: AsRef<str>>(&self, files: &[(N, T)]) -> Result<Config, Error> {
        // An empty folder, perhaps a wrong path, would remove every service and organisation.
        if files.is_empty() {
            return Err(Error::Empty);
        }
        let mut sources: Vec<_> = files.iter().map(Source::from).collect();
        sources.sort_unstable_by_key(|source| source.name);
        let mut draft = Draft::default();
        let mut report = Report {
            sources: &sources,
            problems: Vec::new(),
        };
        for (index, source) in sources.iter().enumerate() {
            match File::parse(*source) {
                Ok(file) => draft.add(index, file),
                Err(problem) => report.problems.push(*problem),
            }
        }
        // If a file was not parsed, all references to its items would be reported as problems.
        if report.problems.is_empty() {
            check::all(&draft, self.adapters, &mut report);
        }
        if report.problems.is_empty() {
            Ok(draft.into_config())
        } else {
            Err(Error::Invalid(report.problems))
        }
    }
}
