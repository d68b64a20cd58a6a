//! Finds the line on which a key or section stands.

use toml::de::DeTable;
use toml::de::DeValue;

/// Which item of which file: the third `[[route]]` of `40-staff.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    /// The file's index among the sources.
    pub(super) file: usize,
    /// The section's key.
    pub(super) section: &'static str,
    /// The item's index in its section and file.
    pub(super) item: usize,
}

/// One file as it was read.
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
    /// Returns the line, counted from 1, on which a byte stands.
    pub(super) fn line(&self, byte: usize) -> usize {
        let before = self.text.as_bytes().iter().take(byte);
        before.filter(|byte| **byte == b'\n').count() + 1
    }

    /// Returns the line of an item's key, or of the item where the key is missing.
    ///
    /// The text is parsed once more; that happens for problems only.
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
        self.line(start)
    }

    /// Returns the key that a byte belongs to, such as `service.retry.budget`.
    ///
    /// TOML gives spans of whole values, so the deepest key that starts at or before the byte is the one.
    pub(super) fn key_at(&self, byte: usize) -> String {
        let Ok(table) = DeTable::parse(self.text) else {
            return String::new();
        };
        let mut path = Vec::new();
        descend(table.get_ref(), byte, &mut path);
        path.join(".")
    }
}

/// Follows the last key that starts at or before the byte, into tables and arrays of tables.
fn descend(table: &DeTable<'_>, byte: usize, path: &mut Vec<String>) {
    let before = table
        .iter()
        .filter(|(name, value)| first(name.span().start, value.get_ref()) <= byte);
    let Some((name, value)) = before.max_by_key(|(name, value)| last(name.span().start, value.get_ref(), byte)) else {
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

/// Returns where a key starts for the first time.
fn first(name: usize, value: &DeValue<'_>) -> usize {
    let inside = starts(value).min();
    inside.map_or(name, |start| start.min(name))
}

/// Returns the last start of a key, or of one of its items, at or before the byte.
fn last(name: usize, value: &DeValue<'_>, byte: usize) -> usize {
    let inside = starts(value).filter(|start| *start <= byte).max();
    inside.map_or(name, |start| if name <= byte { start.max(name) } else { start })
}

/// Returns where the items of an array start; nothing for other values.
fn starts<'a>(value: &'a DeValue<'_>) -> impl Iterator<Item = usize> + 'a {
    let items = value.as_array().into_iter().flat_map(|items| items.iter());
    items.map(|item| item.span().start)
}
