//! Builds a frame within a bound on its size.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Body;
use super::Item;
use super::VERSION;
use crate::tag;

/// Collects items until the frame is full.
#[derive(Debug)]
pub struct Writer {
    head: Vec<u8>,
    groups: BTreeMap<u8, Vec<u8>>,
    size: usize,
    limit: usize,
}

impl Writer {
    /// Most bytes of a group's kind and length.
    const GROUP_HEAD: usize = 4;

    /// Starts a frame of at most `limit` bytes.
    pub fn new(from: tag::Long, body: Body, limit: usize) -> Self {
        let mut head = append(&from, vec![VERSION]);
        let body = append(&body, Vec::new());
        // A body is a few fixed fields, far below 256 bytes.
        head.push(body.len() as u8);
        head.extend_from_slice(&body);
        Self {
            size: head.len(),
            head,
            groups: BTreeMap::new(),
            limit,
        }
    }

    /// Takes an item in, unless the frame would grow past its limit; returns whether it was taken.
    pub fn push(&mut self, item: &Item) -> bool {
        let group = self.groups.entry(item.kind()).or_default();
        let before = group.len();
        let head = if before == 0 { Self::GROUP_HEAD } else { 0 };
        *group = item.encode(core::mem::take(group));
        let grown = group.len() - before + head;
        if self.size + grown > self.limit {
            group.truncate(before);
            return false;
        }
        self.size += grown;
        true
    }

    /// Returns whether no item was taken.
    pub fn is_empty(&self) -> bool {
        self.groups.values().all(Vec::is_empty)
    }

    /// Returns the bytes that are still free.
    pub const fn room(&self) -> usize {
        self.limit.saturating_sub(self.size)
    }

    /// Returns the frame's bytes.
    pub fn finish(self) -> Vec<u8> {
        let mut out = self.head;
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

/// Appends a value's encoding.
pub(super) fn append<T: Serialize>(value: &T, out: Vec<u8>) -> Vec<u8> {
    postcard::to_extend(value, out).expect("a growing buffer takes every plain value")
}
