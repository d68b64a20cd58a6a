//! Checks that items fit together: names, references, ranges and duplicates.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::draft::Draft;
use super::draft::Report;
use super::hint;
use super::source::Place;

mod organisation;
mod place;
mod route;
mod service;

/// The longest name; names become parts of rows' keys.
const MAX_NAME: usize = 64;

/// Checks everything; an empty report means a valid configuration.
pub(super) fn all(draft: &Draft, adapters: Option<&[&str]>, report: &mut Report<'_>) {
    place::check(draft, report);
    service::check(draft, adapters, report);
    route::check(draft, report);
    organisation::check(draft, report);
}

/// Checks that a name is short and plain enough to stand in row keys, metrics and URLs.
fn name(report: &mut Report<'_>, place: Place, key: &str, text: &str) {
    let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'.' | b'_');
    if text.is_empty() || text.len() > MAX_NAME || !text.bytes().all(plain) {
        let message =
            format!("`{text}` is no name: 1 to {MAX_NAME} lower-case letters, digits, hyphens, dots and underscores");
        report.add(place, key, message);
    }
}

/// Checks that every name in a list is known.
fn known<'a, N, K>(report: &mut Report<'_>, place: Place, key: &str, names: N, all: &K)
where
    N: IntoIterator<Item = &'a str>,
    K: Iterator<Item = &'a str> + Clone,
{
    for name in names {
        if !all.clone().any(|other| other == name) {
            let kind = match key {
                "zones" => "zone",
                "classes" => "class",
                "services" => "service",
                single => single,
            };
            let hint = hint::nearest(name, all.clone());
            report.add_hinted(place, key, format!("there is no {kind} `{name}`"), hint);
        }
    }
}

/// Remembers where each value was first seen, over all files.
struct Unique {
    key: &'static str,
    seen: BTreeMap<String, Place>,
}

impl Unique {
    fn new(key: &'static str) -> Self {
        Self {
            key,
            seen: BTreeMap::new(),
        }
    }

    /// Adds a value; a second time is a problem that names both places.
    fn add(&mut self, report: &mut Report<'_>, place: Place, value: impl Into<String>) {
        match self.seen.entry(value.into()) {
            Entry::Vacant(free) => {
                free.insert(place);
            }
            Entry::Occupied(taken) => {
                let first = report.locate(*taken.get(), self.key);
                let message = format!("`{}` stands already at {first}", taken.key());
                report.add(place, self.key, message);
            }
        }
    }
}
