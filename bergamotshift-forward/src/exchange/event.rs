//! Splits an event stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes; a larger one is never forwarded.
const MAX_EVENT: usize = 256 * 1024;

/// Splitter that collects the bytes of an event stream and returns complete events.
///
/// An endpoint may fail in the middle of an event, and the stream is resumed at another one. If partial events were
/// forwarded, the caller would see half an event joined with a complete one. Only complete events are forwarded, so the
/// next endpoint begins with a complete event.
#[derive(Debug, Default)]
pub struct Events {
    received: BytesMut,
    /// Number of received bytes in which no event ends.
    scanned: usize,
    /// Identifier of the last complete event that has one.
    last_id: Option<u64>,
}

impl Events {
    /// Creates a splitter for a stream whose receiver has all events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last_id: last,
            ..Self::default()
        }
    }

    /// Adds bytes, and returns the events that they complete, or `None` if there are none.
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

    /// Returns the identifier of the last complete event that has one.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops a partial event that will not be completed.
    pub fn drop_partial(&mut self) {
        self.received.clear();
        self.scanned = 0;
    }

    /// Returns whether the stream is between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.received.is_empty()
    }

    /// Returns whether a partial event exceeds the maximum size.
    pub fn is_oversized(&self) -> bool {
        self.received.len() > MAX_EVENT
    }

    /// Returns the position at which the last complete event ends.
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
