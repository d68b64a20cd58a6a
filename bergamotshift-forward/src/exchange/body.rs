//! How an answer's body is framed.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header;

use super::failure::Failure;

/// The longest line of a chunk's size, extensions included.
const MAX_SIZE_LINE: usize = 256;

/// How a body ends, and how much of it is still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has ended.
    Done,
    /// It has this many bytes more.
    Length(u64),
    /// The next bytes are a chunk's size.
    ChunkSize,
    /// The chunk has this many bytes more, and a line end behind them.
    Chunk(u64),
    /// The line end behind a chunk comes next.
    ChunkEnd,
    /// The lines behind the last chunk come next.
    Trailer,
    /// It ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns how the body of an answer with this head ends.
    pub(super) fn from_head(status: StatusCode, headers: &HeaderMap, method: &Method) -> Result<Self, Failure> {
        let empty = status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if empty || *method == Method::HEAD {
            return Ok(Self::Done);
        }
        if let Some(coding) = headers.get(header::TRANSFER_ENCODING) {
            if headers.contains_key(header::CONTENT_LENGTH) || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Err(Failure::Malformed("its framing is ambiguous"));
            }
            return Ok(Self::ChunkSize);
        }
        let mut lengths = headers.get_all(header::CONTENT_LENGTH);
        let Some(length) = lengths.next() else {
            return Ok(Self::UntilClose);
        };
        if lengths.any(|other| other.as_bytes() != length.as_bytes()) {
            return Err(Failure::Malformed("it has two lengths"));
        }
        let length = length
            .to_str()
            .ok()
            .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        match length.and_then(|text| text.parse().ok()) {
            Some(0) => Ok(Self::Done),
            Some(length) => Ok(Self::Length(length)),
            None => Err(Failure::Malformed("its length is no number")),
        }
    }

    /// Returns whether the body's end is told by something else than the connection's end.
    pub const fn is_framed(self) -> bool {
        !matches!(self, Self::UntilClose)
    }

    /// Takes the next bytes of the body out of what was received; `None` when more is needed or it has ended.
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
                Self::Chunk(left) => {
                    let (piece, left) = split(received, left);
                    *self = if left == 0 { Self::ChunkEnd } else { Self::Chunk(left) };
                    return Ok(Some(piece));
                }
                Self::ChunkSize => match httparse::parse_chunk_size(received) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        received.advance(line);
                        *self = if size == 0 { Self::Trailer } else { Self::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) if received.len() <= MAX_SIZE_LINE => return Ok(None),
                    _ => return Err(Failure::Malformed("a chunk has no size")),
                },
                Self::ChunkEnd => {
                    if received.len() < 2 {
                        return Ok(None);
                    }
                    if !received.starts_with(b"\r\n") {
                        return Err(Failure::Malformed("a chunk has no end"));
                    }
                    received.advance(2);
                    *self = Self::ChunkSize;
                }
                Self::Trailer => {
                    let Some(end) = received.windows(2).position(|pair| pair == b"\r\n") else {
                        return Ok(None);
                    };
                    received.advance(end + 2);
                    if end == 0 {
                        *self = Self::Done;
                    }
                }
            }
        }
    }
}

fn split(received: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let length = received.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    (received.split_to(length).freeze(), left - length as u64)
}
