//! The folder that the demo runs: the operator's own, or the example that is built into the binary.

use std::path::Path;

use crate::config::config::Config;
use crate::config::folder;

/// The example's files, built in so that the demo runs from any folder.
const EXAMPLE: [(&str, &str); 5] = [
    (
        "10-zones.toml",
        include_str!("../../../examples/oranjehal/10-zones.toml"),
    ),
    (
        "20-classes.toml",
        include_str!("../../../examples/oranjehal/20-classes.toml"),
    ),
    (
        "30-planner-llm.toml",
        include_str!("../../../examples/oranjehal/30-planner-llm.toml"),
    ),
    (
        "40-staff-app.toml",
        include_str!("../../../examples/oranjehal/40-staff-app.toml"),
    ),
    (
        "50-organisations.toml",
        include_str!("../../../examples/oranjehal/50-organisations.toml"),
    ),
];

/// Reads the folder at `path`, or the built-in example when there is none.
///
/// # Errors
///
/// Returns the folder's problems.
pub fn read(path: Option<&Path>) -> Result<Config, folder::Error> {
    match path {
        Some(path) => folder::load(path),
        None => folder::parse(&EXAMPLE),
    }
}
