//! Lengths of source files.

use std::path::Path;

use crate::error::Error;
use crate::walk;

/// A file with more lines than this holds more than one concept.
const MOST_LINES: usize = 500;

/// Prints every source file that is too long.
///
/// # Errors
///
/// Returns [`Error::Findings`] when a file is too long and [`Error::Read`] when one can't be read.
pub fn check(root: &Path) -> Result<(), Error> {
    let mut count = 0;
    for file in walk::files(root, "rs")? {
        let lines = walk::text(&file)?.lines().count();
        if lines > MOST_LINES {
            println!("{}: {lines} lines", file.display());
            count += 1;
        }
    }
    if count == 0 {
        return Ok(());
    }
    Err(Error::Findings { check: "lines", count })
}
