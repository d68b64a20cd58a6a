//! Reads a folder of TOML files into one configuration.

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
    Parser::default().parse(files)
}

/// How a folder is judged, beyond what its own text says.
#[derive(Clone, Copy, Debug, Default)]
pub struct Parser<'a> {
    /// The names of the endpoint adapters that there are; missing means that any name passes.
    pub adapters: Option<&'a [&'a str]>,
}

impl Parser<'_> {
    /// Merges and checks files given as names and texts, in the order of their names.
    ///
    /// # Errors
    ///
    /// Fails with every problem found, each with file, line and key.
    pub fn parse<N: AsRef<str>, T: AsRef<str>>(&self, files: &[(N, T)]) -> Result<Config, Error> {
        // A wrong path or an emptied folder would take every service and organisation away.
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
        for (place, source) in sources.iter().enumerate() {
            match File::parse(*source) {
                Ok(file) => draft.add(place, file),
                Err(problem) => report.problems.push(*problem),
            }
        }
        // With a file missing, the references into it would all be called wrong.
        if report.problems.is_empty() {
            check::all(&draft, self.adapters, &mut report);
        }
        if report.problems.is_empty() {
            Ok(draft.finish())
        } else {
            Err(Error::Invalid(report.problems))
        }
    }
}
