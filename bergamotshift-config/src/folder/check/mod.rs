//! Validation of the merged items: names, references, ranges and duplicates.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::draft::Draft;
use super::draft::Report;
use super::hint;
use super::source::Location;

mod organisation;
mod place;
mod route;
mod service;

/// Maximum length of a name, which becomes part of the keys of rows.
const MAX_NAME: usize = 64;

/// Checks all items. The configuration is valid if the report stays empty.
pub(super) fn all(draft: &Draft, adapters: Option<&[&str]>, report: &mut Report<'_>) {
    place::check(draft, report);
    service::check(draft, adapters, report);
    route::check(draft, report);
    organisation::check(draft, report);
}

/// Checks the length and the characters of a name, so that it can be used in row keys, metrics and URLs.
fn check_name(report: &mut Report<'_>, location: Location, key: &str, text: &str) {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'.' | b'_');
    if text.is_empty() || text.len() > MAX_NAME || !text.bytes().all(allowed) {
        let message = format!(
            "`{text}` is not a valid name: use 1 to {MAX_NAME} lower-case letters, digits, hyphens, dots and underscores"
        );
        report.add(location, key, message);
    }
}

/// Checks that every name that an item refers to exists.
fn check_references<'a, N, K>(report: &mut Report<'_>, location: Location, key: &str, names: N, known: &K)
where
    N: IntoIterator<Item = &'a str>,
    K: Iterator<Item = &'a str> + Clone,
{
    for name in names {
        if !known.clone().any(|other| other == name) {
            let kind = match key {
                "zones" => "zone",
                "classes" => "class",
                "services" => "service",
                single => single,
            };
            let hint = hint::nearest(name, known.clone());
            report.add_with_hint(location, key, format!("there is no {kind} `{name}`"), hint);
        }
    }
}

/// Values that must be unique over all files, with the location of their first use.
struct Unique {
    key: &'static str,
    seen: BTreeMap<String, Location>,
}

impl Unique {
    fn new(key: &'static str) -> Self {
        Self {
            key,
            seen: BTreeMap::new(),
        }
    }

    /// Adds a value. A duplicate is reported with both locations.
    fn add(&mut self, report: &mut Report<'_>, location: Location, value: impl Into<String>) {
        match self.seen.entry(value.into()) {
            Entry::Vacant(free) => {
                free.insert(location);
            }
            Entry::Occupied(taken) => {
                let first = report.locate(*taken.get(), self.key);
                let message = format!("`{}` is already used at {first}", taken.key());
                report.add(location, self.key, message);
            }
        }
    }
}
