//! The steps of CI, as a contributor runs them.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use crate::error::Error;

/// Returns the root of the work tree.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Runs CI's script.
///
/// # Errors
///
/// Returns [`Error::Step`] when the script can't start or a step of it fails.
pub fn ci(root: &Path) -> Result<(), Error> {
    let script = root.join(".ci").join("run");
    let status = Command::new("bash")
        .arg(&script)
        .status()
        .map_err(|error| Error::Step(error.to_string()))?;
    if status.success() {
        return Ok(());
    }
    Err(Error::Step(format!(".ci/run ended with {status}")))
}
