//! Splits an engine's event stream into events without parsing them.

use ntex::util::Bytes;
use ntex::util::BytesMut;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Maximum size of an event in bytes. A larger one is treated as a fault of the engine.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event of a stream: its data lines, without the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event(Bytes);

impl Event {
    /// Creates an event from its lines.
    pub const fn new(lines: Bytes) -> Self {
        Self(lines)
    }

    /// Returns the event's lines.
    pub const fn lines(&self) -> &Bytes {
        &self.0
    }

    /// Returns the event's data if it consists of a single data line, as engines send it.
    pub fn data(&self) -> Option<&[u8]> {
        let line = self.0.strip_prefix(b"data:")?;
        let line = line.strip_prefix(b" ").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        (!line.contains(&b'\n')).then_some(line)
    }

    /// Returns whether this event marks the end of a complete stream.
    pub fn is_done(&self) -> bool {
        self.data() == Some(DONE)
    }
}

/// Error for a stream with an event larger than the maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("an event of the stream is larger than {MAX_EVENT_BYTES} bytes")]
pub struct TooLarge;

/// Buffers the bytes of a stream and splits them into events.
///
/// ```
/// use bergamotshift_endpoint::engine::event::Splitter;
///
/// let mut splitter = Splitter::default();
/// splitter.push(b"data: one\n\nda")?;
/// splitter.push(b"ta: [DONE]\n\n")?;
/// assert_eq!(splitter.next().and_then(|event| event.data().map(<[u8]>::to_vec)), Some(b"one".to_vec()));
/// assert!(splitter.next().is_some_and(|event| event.is_done()));
/// assert_eq!(splitter.next(), None);
/// # Ok::<(), bergamotshift_endpoint::engine::event::TooLarge>(())
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Offset in the buffer before which no event ends.
    searched: usize,
}

impl Splitter {
    /// Appends received bytes to the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error when the buffered bytes would exceed the maximum size of an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns whether the buffer holds no bytes of an unfinished event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the end of the first event and the start of the next one.
    fn boundary(&mut self) -> Option<(usize, usize)> {
        let mut from = self.searched;
        while let Some(offset) = memchr::memchr(b'\n', &self.buffer[from..]) {
            let end = from + offset;
            let rest = &self.buffer[end + 1..];
            if rest.first() == Some(&b'\n') {
                return Some((end, end + 2));
            }
            if rest.starts_with(b"\r\n") {
                return Some((end, end + 3));
            }
            if rest.is_empty() || rest == b"\r" {
                self.searched = end;
                return None;
            }
            from = end + 1;
        }
        self.searched = self.buffer.len();
        None
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        loop {
            let (end, after) = self.boundary()?;
            let mut lines = self.buffer.split_to(after);
            lines.truncate(end);
            self.searched = 0;
            if let Some(event) = data_lines(lines) {
                return Some(event);
            }
        }
    }
}

/// Returns an event with only its data lines, or `None` if there are none, as in comments that keep a connection open.
///
/// All other fields are dropped, and the entry numbers the events itself. If an engine's own `id` or `retry` lines
/// passed, a caller could resume its stream at the engine's number, and tokens would be missing or repeated.
fn data_lines(lines: Bytes) -> Option<Event> {
    const DATA: &[u8] = b"data:";
    if lines.starts_with(DATA) && memchr::memchr2(b'\n', b'\r', &lines).is_none() {
        return Some(Event(lines));
    }
    // Clients also end a line at a lone carriage return.
    let data: Vec<_> = lines
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .filter(|line| line.starts_with(DATA))
        .collect();
    (!data.is_empty()).then(|| Event(Bytes::from(data.join(&b'\n'))))
}
