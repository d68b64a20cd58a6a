//! Splits an event stream into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// The largest event, in bytes; a longer one is passed on in no case.
const MAX_EVENT: usize = 256 * 1024;

/// Collects bytes of an event stream and gives out whole events.
///
/// Failure: an endpoint dies in the middle of an event, and the stream goes on at another one. Symptom: the caller sees
/// half an event with a whole one glued to it. Only whole events are passed on, so the next endpoint starts at one.
#[derive(Debug, Default)]
pub struct Events {
    received: BytesMut,
    scanned: usize,
    last_id: Option<u64>,
}

impl Events {
    /// Makes a splitter for a stream whose receiver has all events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last_id: last,
            ..Self::default()
        }
    }

    /// Takes bytes in and returns the whole events that they complete, or `None` when there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.received.extend_from_slice(bytes);
        let end = self.find_last_end()?;
        let whole = self.received.split_to(end).freeze();
        self.scanned = 0;
        if let Some(id) = parse_last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Returns the identifier of the last whole event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops the beginning of an event that will not be completed.
    pub fn drop_partial(&mut self) {
        self.received.clear();
        self.scanned = 0;
    }

    /// Returns whether the stream stands between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.received.is_empty()
    }

    /// Returns whether an event is larger than any that is meant.
    pub fn is_oversized(&self) -> bool {
        self.received.len() > MAX_EVENT
    }

    /// Returns where the last whole event ends.
    fn find_last_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let fresh = &self.received[from..];
        let blank = |end: &[u8]| {
            fresh
                .windows(end.len())
                .rposition(|at| at == end)
                .map(|at| from + at + end.len())
        };
        let end = blank(b"\n\n").max(blank(b"\r\n\r\n"));
        self.scanned = self.received.len();
        end
    }
}

/// Returns the identifier of the last event that has one.
fn parse_last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    core::str::from_utf8(line).ok()?.trim().parse().ok()
}
