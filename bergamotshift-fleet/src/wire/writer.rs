//! Builds a frame of limited size.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Body;
use super::Item;
use super::VERSION;
use crate::tag;

/// Encoder that collects items until the frame is full.
#[derive(Debug)]
pub struct Writer {
    header: Vec<u8>,
    groups: BTreeMap<u8, Vec<u8>>,
    size: usize,
    limit: usize,
}

impl Writer {
    /// Maximum size of a group's kind and length, in bytes.
    const MAX_GROUP_HEADER: usize = 4;

    /// Starts a frame of at most `limit` bytes.
    pub fn new(from: tag::Long, body: Body, limit: usize) -> Self {
        let mut header = append(&from, vec![VERSION]);
        let body = append(&body, Vec::new());
        // A body has a few fixed fields, far below 256 bytes.
        header.push(body.len() as u8);
        header.extend_from_slice(&body);
        Self {
            size: header.len(),
            header,
            groups: BTreeMap::new(),
            limit,
        }
    }

    /// Adds an item unless the frame would exceed its limit; returns whether it was added.
    pub fn push(&mut self, item: &Item) -> bool {
        let group = self.groups.entry(item.kind()).or_default();
        let before = group.len();
        let header = if before == 0 { Self::MAX_GROUP_HEADER } else { 0 };
        *group = item.encode(core::mem::take(group));
        let added = group.len() - before + header;
        if self.size + added > self.limit {
            group.truncate(before);
            return false;
        }
        self.size += added;
        true
    }

    /// Returns whether the frame has no items.
    pub fn is_empty(&self) -> bool {
        self.groups.values().all(Vec::is_empty)
    }

    /// Returns the number of free bytes.
    pub const fn room(&self) -> usize {
        self.limit.saturating_sub(self.size)
    }

    /// Returns the encoded frame.
    pub fn finish(self) -> Vec<u8> {
        let mut out = self.header;
        for (kind, group) in self.groups {
            if group.is_empty() {
                continue;
            }
            out.push(kind);
            out = append(&(group.len() as u32), out);
            out.extend_from_slice(&group);
        }
        out
    }
}

/// Appends the encoding of a value.
pub(super) fn append<T: Serialize>(value: &T, out: Vec<u8>) -> Vec<u8> {
    postcard::to_extend(value, out).expect("encoding into a growing buffer never fails")
}
