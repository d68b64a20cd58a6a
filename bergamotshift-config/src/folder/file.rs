//! One file of the folder, before it is merged.

use serde::Deserialize;
use smol_str::SmolStr;

use super::error::Problem;
use super::hint;
use super::source::Source;
use crate::config;

/// The sections of one file.
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
    /// Reads one file; its text alone is judged here, not what it refers to.
    pub(super) fn parse(source: Source<'_>) -> Result<Self, Box<Problem>> {
        toml::from_str(source.text).map_err(|error| Box::new(problem(source, &error)))
    }
}

/// Turns a TOML error into a problem with line, key and hint.
fn problem(source: Source<'_>, error: &toml::de::Error) -> Problem {
    let start = error.span().map_or(0, |span| span.start);
    Problem {
        file: SmolStr::new(source.name),
        line: source.line(start),
        key: SmolStr::new(source.key_at(start)),
        message: error.message().to_owned(),
        hint: unknown(error.message()),
    }
}

/// Returns a hint when the message says that a key or a value is none of the known ones.
///
/// `serde` writes such messages as: unknown field `a`, expected one of `b`, `c`.
fn unknown(message: &str) -> Option<String> {
    if !message.starts_with("unknown ") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let name = quoted.next()?;
    hint::nearest(name, quoted)
}
