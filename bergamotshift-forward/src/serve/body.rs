//! Bodies of callers' requests, which share the room that the process has for them.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_limit::intake::Growth;
use bergamotshift_limit::intake::Key;
use bytes::Bytes;
use ntex::http::Payload;
use ntex::http::Request;
use ntex::http::header;
use slog::info;
use tokio::time::timeout;

use super::refusal::Reason;
use crate::observe::Topic;
use crate::view::Shared;

/// Time within which a body has to go on.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Bytes that the HTTP library may take for the chunks of a body that have arrived and are not read yet, which are as many as
/// fit into its read buffer.
const CHUNKS_OVERHEAD: usize = 128 << 10;

/// Time for which the rest of a refused body is read, so that its client gets the answer and not a reset.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Body that was read completely.
#[derive(Debug)]
pub(super) struct Body {
    /// Its bytes.
    pub(super) bytes: Bytes,
    _room: Room,
}

/// Room that a body holds until it is dropped.
#[derive(Debug)]
struct Room {
    shared: Arc<Shared>,
    key: Key,
}

impl Room {
    fn open(shared: &Arc<Shared>, source: u64, overhead: usize) -> Result<Self, Reason> {
        let key = shared.intake().open(shared.clock.now(), source, overhead);
        let room = Self {
            shared: Arc::clone(shared),
            key,
        };
        room.grow(0, 0)?;
        Ok(room)
    }

    /// Takes room for `size` bytes in all, of which `received` have arrived; bodies that do not go on may lose theirs for it.
    fn grow(&self, size: usize, received: usize) -> Result<(), Reason> {
        let shared = &self.shared;
        let now = shared.clock.now();
        let (growth, held) = {
            let mut intake = shared.intake();
            (intake.grow(now, self.key, size, received), intake.held())
        };
        shared.metrics.intake.set_held(held);
        let yielded = match growth {
            Growth::Granted(yielded) if yielded.is_empty() => return Ok(()),
            Growth::Granted(yielded) => yielded,
            Growth::Refused => return Err(Reason::NoRoom),
        };
        shared.metrics.intake.yielded.inc_by(yielded.len() as u64);
        if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::Limit) {
            info!(logger, "bodies yielded their room"; "bodies" => yielded.len(), "held" => held, "needed" => size,
                "left_out" => left_out);
        }
        shared.room_yielded.notify_waiters();
        Ok(())
    }

    /// Waits until another body has taken the room.
    async fn lost(&self) {
        loop {
            let notified = self.shared.room_yielded.notified();
            if !self.shared.intake().is_open(self.key) {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        let held = {
            let mut intake = self.shared.intake();
            intake.close(self.key);
            intake.held()
        };
        self.shared.metrics.intake.set_held(held);
    }
}

/// What a request's head says of its body, and what is left of it to read.
#[derive(Debug)]
pub(super) struct Reader {
    shared: Arc<Shared>,
    payload: Payload,
    announced: Option<usize>,
    max: usize,
}

impl Reader {
    /// Takes the body of a request, of which at most `max` bytes are read.
    pub(super) fn new(shared: &Arc<Shared>, request: &mut Request, max: usize) -> Self {
        let length = request.headers().get(header::CONTENT_LENGTH);
        let announced = length.and_then(|length| length.to_str().ok()?.trim().parse().ok());
        let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        Self {
            shared: Arc::clone(shared),
            payload: request.take_payload(),
            announced: if is_chunked { None } else { announced.or(Some(0)) },
            max,
        }
    }

    /// Returns whether the body is announced to be small, or there is none.
    pub(super) fn is_small(&self) -> bool {
        let small = self.shared.intake().settings().small;
        self.announced.is_some_and(|announced| announced <= small)
    }

    /// Reads the body, within `time_left` in all, while it goes on, and unless the entry stops accepting requests
    /// meanwhile. `source` is whose it is.
    ///
    /// # Errors
    ///
    /// Returns why it was not read. The rest of it is skipped for a moment, and the connection must be closed afterwards.
    pub(super) async fn read(mut self, source: u64, time_left: Duration) -> Result<Body, Reason> {
        let shared = Arc::clone(&self.shared);
        let read = tokio::select! {
            biased;
            read = timeout(time_left, self.read_all(source)) => read.unwrap_or(Err(Reason::BodyTimeout)),
            () = shared.drain.closed(|| shared.clock.now()) => Err(Reason::Stopping),
        };
        if matches!(read, Err(reason) if reason != Reason::NoRoom) {
            self.skip();
        }
        read
    }

    async fn read_all(&mut self, source: u64) -> Result<Body, Reason> {
        if self.announced.is_some_and(|announced| announced > self.max) {
            return Err(Reason::TooLarge);
        }
        let overhead = if self.announced.is_some() { 0 } else { CHUNKS_OVERHEAD };
        let room = Room::open(&self.shared, source, overhead)?;
        let mut segments = Segments::new(self.announced, self.max);
        loop {
            let next = async {
                tokio::select! {
                    piece = self.payload.recv() => Ok(piece),
                    () = room.lost() => Err(Reason::NoRoom),
                }
            };
            let Some(piece) = timeout(STALL_TIMEOUT, next).await.unwrap_or(Err(Reason::BodyTimeout))? else {
                break;
            };
            let piece = piece.map_err(|_broken| Reason::BadBody)?;
            if segments.length + piece.len() > self.max {
                return Err(Reason::TooLarge);
            }
            room.grow(segments.size_with(piece.len()), segments.length + piece.len())?;
            segments.push(&piece);
        }
        if segments.is_divided() {
            room.grow(segments.size() + segments.length, segments.length)?;
        }
        let bytes = segments.join();
        room.grow(bytes.capacity(), bytes.len())?;
        self.shared.intake().complete(room.key);
        Ok(Body {
            bytes: Bytes::from(bytes),
            _room: room,
        })
    }

    /// Reads what a client still sends of a refused body, and drops it.
    pub(super) fn skip(self) {
        let mut payload = self.payload;
        ntex::rt::spawn(async move {
            let reading = async { while let Some(Ok(_dropped)) = payload.recv().await {} };
            // After the time, the connection is closed.
            let _ = timeout(DRAIN_TIMEOUT, reading).await;
        });
    }
}

/// Bytes of a body, in segments so that growing does not copy what a large body has.
#[derive(Debug)]
struct Segments {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    length: usize,
    /// Capacity of the first segment, if the body's length is announced.
    announced: Option<usize>,
    max: usize,
}

impl Segments {
    /// Size of the segments of a body of unknown length, in bytes.
    const SIZE: usize = 256 << 10;

    fn new(announced: Option<usize>, max: usize) -> Self {
        Self {
            full: Vec::new(),
            last: Vec::new(),
            length: 0,
            announced,
            max,
        }
    }

    /// Returns the bytes that are allocated.
    fn size(&self) -> usize {
        self.full.len() * Self::SIZE + self.last.capacity()
    }

    /// Returns the bytes that are allocated once `more` bytes have been added.
    fn size_with(&self, more: usize) -> usize {
        let length = self.last.len() + more;
        if length <= self.last.capacity() {
            return self.size();
        }
        match self.announced {
            Some(announced) => announced.max(length),
            None if length <= Self::SIZE => self.full.len() * Self::SIZE + Self::capacity_for(length),
            None => {
                let full = self.full.len() + length / Self::SIZE;
                full * Self::SIZE + Self::capacity_for(length % Self::SIZE)
            }
        }
    }

    fn capacity_for(length: usize) -> usize {
        length.next_power_of_two().min(Self::SIZE)
    }

    fn push(&mut self, piece: &[u8]) {
        self.length += piece.len();
        if let Some(announced) = self.announced {
            let capacity = announced.min(self.max).max(self.length);
            self.last.reserve_exact(capacity - self.last.len());
            self.last.extend_from_slice(piece);
            return;
        }
        let mut rest = piece;
        while !rest.is_empty() {
            let (part, after) = rest.split_at(rest.len().min(Self::SIZE - self.last.len()));
            let capacity = Self::capacity_for(self.last.len() + part.len()).max(self.last.capacity());
            self.last.reserve_exact(capacity - self.last.len());
            self.last.extend_from_slice(part);
            if self.last.len() == Self::SIZE {
                self.full.push(core::mem::take(&mut self.last));
            }
            rest = after;
        }
    }

    /// Returns whether the bytes lie in several segments.
    const fn is_divided(&self) -> bool {
        !self.full.is_empty()
    }

    /// Returns all bytes in one piece.
    fn join(self) -> Vec<u8> {
        if self.full.is_empty() {
            return self.last;
        }
        let mut bytes = Vec::with_capacity(self.length);
        for segment in self.full.iter().chain([&self.last]) {
            bytes.extend_from_slice(segment);
        }
        bytes
    }
}
