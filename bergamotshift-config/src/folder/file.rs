//! Sections of one file of the folder, before the files are merged.

use serde::Deserialize;
use smol_str::SmolStr;

use super::error::Problem;
use super::hint;
use super::source::Source;
use crate::config;

/// Sections of one file.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct File {
    pub(super) zone: Vec<config::Zone>,
    pub(super) class: Vec<config::Class>,
    pub(super) price: Vec<config::ZonePrice>,
    pub(super) service: Vec<config::Service>,
    pub(super) route: Vec<config::Route>,
    pub(super) organisation: Vec<config::Organisation>,
    pub(super) endpoint: Vec<config::Endpoint>,
}

impl File {
    /// Parses one file. References to other items are not checked here.
    pub(super) fn parse(source: Source<'_>) -> Result<Self, Box<Problem>> {
        toml::from_str(source.text).map_err(|error| Box::new(to_problem(source, &error)))
    }
}

/// Converts a TOML error into a problem with line, key and hint.
fn to_problem(source: Source<'_>, error: &toml::de::Error) -> Problem {
    let start = error.span().map_or(0, |span| span.start);
    Problem {
        file: SmolStr::new(source.name),
        line: source.line_at(start),
        key: SmolStr::new(source.key_at(start)),
        message: error.message().to_owned(),
        hint: hint_for_unknown(error.message()),
    }
}

/// Returns a hint if the message is about an unknown key or value.
///
/// `serde` formats such messages as: unknown field `a`, expected one of `b`, `c`.
fn hint_for_unknown(message: &str) -> Option<String> {
    if !message.starts_with("unknown ") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let name = quoted.next()?;
    hint::nearest(name, quoted)
}
