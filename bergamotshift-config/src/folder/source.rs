//! Lookup of lines and keys in the text of a file.

use toml::de::DeTable;
use toml::de::DeValue;

/// Location of an item, such as the third `[[route]]` of `40-staff.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Location {
    /// Index of the file among the sources.
    pub(super) file: usize,
    /// Key of the section.
    pub(super) section: &'static str,
    /// Index of the item within its section of the file.
    pub(super) item: usize,
}

/// Name and text of one file.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    pub(super) name: &'a str,
    pub(super) text: &'a str,
}

impl<'a, N: AsRef<str>, T: AsRef<str>> From<&'a (N, T)> for Source<'a> {
    fn from((name, text): &'a (N, T)) -> Self {
        Self {
            name: name.as_ref(),
            text: text.as_ref(),
        }
    }
}

impl Source<'_> {
    /// Returns the line of a byte offset, counted from 1.
    pub(super) fn line_at(&self, byte: usize) -> usize {
        let before = self.text.as_bytes().iter().take(byte);
        before.filter(|byte| **byte == b'\n').count() + 1
    }

    /// Returns the line of a key of an item, or the line of the item if the key is missing.
    ///
    /// It parses the text again, which happens only when a problem is reported.
    pub(super) fn line_of(&self, section: &str, item: usize, key: &str) -> usize {
        let Ok(table) = DeTable::parse(self.text) else { return 1 };
        let value = table.get_ref().get(section).and_then(|items| items.get_ref().get(item));
        let Some(value) = value else { return 1 };
        let mut start = value.span().start;
        let mut inner = value.get_ref().as_table();
        for part in key.split('.') {
            let found = inner.and_then(|table| table.iter().find(|(name, _)| name.get_ref().as_ref() == part));
            let Some((name, value)) = found else { break };
            start = name.span().start;
            inner = value.get_ref().as_table();
        }
        self.line_at(start)
    }

    /// Returns the key at a byte offset, such as `service.retry.budget`.
    ///
    /// The parser returns the spans of whole values, so this is the deepest key that starts at or before the offset.
    pub(super) fn key_at(&self, byte: usize) -> String {
        let Ok(table) = DeTable::parse(self.text) else {
            return String::new();
        };
        let mut path = Vec::new();
        descend(table.get_ref(), byte, &mut path);
        path.join(".")
    }
}

/// Appends the last key that starts at or before the offset to `path`, then descends into tables and arrays of tables.
fn descend(table: &DeTable<'_>, byte: usize, path: &mut Vec<String>) {
    let before = table
        .iter()
        .filter(|(name, value)| first_start(name.span().start, value.get_ref()) <= byte);
    let Some((name, value)) = before.max_by_key(|(name, value)| last_start(name.span().start, value.get_ref(), byte))
    else {
        return;
    };
    path.push(name.get_ref().to_string());
    match value.get_ref() {
        DeValue::Table(inner) => descend(inner, byte, path),
        DeValue::Array(items) => {
            let item = items.iter().rev().find(|item| item.span().start <= byte);
            if let Some(inner) = item.and_then(|item| item.get_ref().as_table()) {
                descend(inner, byte, path);
            }
        }
        _ => {}
    }
}

/// Returns the first start of a key, which may occur several times as an array of tables.
fn first_start(name: usize, value: &DeValue<'_>) -> usize {
    let inside = item_starts(value).min();
    inside.map_or(name, |start| start.min(name))
}

/// Returns the last start of a key, or of one of its items, at or before the offset.
fn last_start(name: usize, value: &DeValue<'_>, byte: usize) -> usize {
    let inside = item_starts(value).filter(|start| *start <= byte).max();
    inside.map_or(name, |start| if name <= byte { start.max(name) } else { start })
}

/// Returns the starts of the items of an array; empty for other values.
fn item_starts<'a>(value: &'a DeValue<'_>) -> impl Iterator<Item = usize> + 'a {
    let items = value.as_array().into_iter().flat_map(|items| items.iter());
    items.map(|item| item.span().start)
}
