//! Framing of response bodies.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header;

use super::failure::Failure;

/// Maximum length of the line with a chunk's size, including extensions, in bytes.
const MAX_SIZE_LINE: usize = 256;

/// Length of a line with a chunk's size that is not counted as excess, in bytes.
const FREE_SIZE_LINE: u64 = 16;

/// Maximum excess of the lines with sizes over the chunks of a body, in bytes.
const MAX_EXCESS: u64 = 16 * 1024;

/// Maximum size of the trailer after the last chunk, in bytes.
const MAX_TRAILER: usize = 8 * 1024;

/// Framing of a body: how it ends, and how much of it is still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has ended.
    Done,
    /// The body has this many bytes left.
    Length(u64),
    /// The size of a chunk comes next, after lines with sizes that were this much longer than their chunks account for.
    ChunkSize(u64),
    /// The chunk has `left` bytes left, followed by a line end.
    Chunk {
        /// Bytes that are still to come.
        left: u64,
        /// The same as of [`Framing::ChunkSize`].
        excess: u64,
    },
    /// The line end after a chunk comes next; the same number.
    ChunkEnd(u64),
    /// The trailer after the last chunk comes next, of which this many bytes were taken.
    Trailer(usize),
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing of the body that follows a response head.
    pub(super) fn from_head(status: StatusCode, headers: &HeaderMap, method: &Method) -> Result<Self, Failure> {
        let empty = status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if empty || *method == Method::HEAD {
            return Ok(Self::Done);
        }
        let mut codings = headers.get_all(header::TRANSFER_ENCODING);
        if let Some(coding) = codings.next() {
            let is_ambiguous = headers.contains_key(header::CONTENT_LENGTH) || codings.next().is_some();
            if is_ambiguous || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Err(Failure::Malformed("its framing is ambiguous"));
            }
            return Ok(Self::ChunkSize(0));
        }
        let mut lengths = headers.get_all(header::CONTENT_LENGTH);
        let Some(length) = lengths.next() else {
            return Ok(Self::UntilClose);
        };
        if lengths.any(|other| other.as_bytes() != length.as_bytes()) {
            return Err(Failure::Malformed("it has two different lengths"));
        }
        let length = length
            .to_str()
            .ok()
            .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        match length.and_then(|text| text.parse().ok()) {
            Some(0) => Ok(Self::Done),
            Some(length) => Ok(Self::Length(length)),
            None => Err(Failure::Malformed("its length is not a number")),
        }
    }

    /// Returns whether the end of the body is marked other than by the end of the connection.
    pub const fn is_framed(self) -> bool {
        !matches!(self, Self::UntilClose)
    }

    /// Takes the next bytes of the body from `received`; returns `None` when more bytes are needed or the body has
    /// ended.
    pub(super) fn take(&mut self, received: &mut BytesMut) -> Result<Option<Bytes>, Failure> {
        loop {
            match *self {
                Self::Done => return Ok(None),
                _ if received.is_empty() => return Ok(None),
                Self::UntilClose => return Ok(Some(received.split().freeze())),
                Self::Length(left) => {
                    let (piece, left) = split(received, left);
                    *self = if left == 0 { Self::Done } else { Self::Length(left) };
                    return Ok(Some(piece));
                }
                Self::Chunk { left, excess } => {
                    let (piece, left) = split(received, left);
                    *self = if left == 0 {
                        Self::ChunkEnd(excess)
                    } else {
                        Self::Chunk { left, excess }
                    };
                    return Ok(Some(piece));
                }
                Self::ChunkSize(excess) => match httparse::parse_chunk_size(received) {
                    Ok(httparse::Status::Complete((line, size))) if line <= MAX_SIZE_LINE => {
                        received.advance(line);
                        let accounted = size.saturating_mul(2).saturating_add(FREE_SIZE_LINE);
                        let excess = (excess + line as u64).saturating_sub(accounted);
                        if excess > MAX_EXCESS {
                            return Err(Failure::Malformed("its chunks are too small for their lines"));
                        }
                        *self = if size == 0 {
                            Self::Trailer(0)
                        } else {
                            Self::Chunk { left: size, excess }
                        };
                    }
                    Ok(httparse::Status::Partial) if received.len() <= MAX_SIZE_LINE => return Ok(None),
                    _ => return Err(Failure::Malformed("the size of a chunk is invalid")),
                },
                Self::ChunkEnd(excess) => {
                    if received.len() < 2 {
                        return Ok(None);
                    }
                    if !received.starts_with(b"\r\n") {
                        return Err(Failure::Malformed("a chunk does not end with a line end"));
                    }
                    received.advance(2);
                    *self = Self::ChunkSize(excess);
                }
                Self::Trailer(taken) => {
                    let end = received.windows(2).position(|pair| pair == b"\r\n");
                    let line = end.map_or(received.len(), |end| end + 2);
                    if taken + line > MAX_TRAILER {
                        return Err(Failure::Malformed("its trailer is too large"));
                    }
                    let Some(end) = end else {
                        return Ok(None);
                    };
                    received.advance(line);
                    *self = if end == 0 {
                        Self::Done
                    } else {
                        Self::Trailer(taken + line)
                    };
                }
            }
        }
    }
}

/// Takes up to `left` bytes from `received`; returns them with the number of bytes that are still to come.
fn split(received: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let length = received.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    (received.split_to(length).freeze(), left - length as u64)
}
