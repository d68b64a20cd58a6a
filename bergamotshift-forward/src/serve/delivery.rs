//! Bodies of answers that count as in flight until their last byte has left the process.

use core::error::Error;
use core::task::Context;
use core::task::Poll;
use std::rc::Rc;

use bytes::Buf;
use bytes::Bytes;
use ntex::http::body::BodySize;
use ntex::http::body::MessageBody;
use ntex::io::IoRef;
use ntex::time::Millis;

use super::active::Active;

/// Size of the pieces in which a body is written, in bytes.
const PIECE: usize = 64 << 10;

/// Body that is written as fast as its caller reads it.
#[derive(Debug)]
pub(super) struct Delivery {
    body: Bytes,
    length: u64,
    /// Connection and count of the request; both are held until all bytes are written.
    caller: Option<(IoRef, Active)>,
}

impl Delivery {
    /// Creates the delivery of a body to a caller.
    pub(super) fn new(body: Bytes, caller: Option<IoRef>, active: Active) -> Self {
        Self {
            length: body.len() as u64,
            body,
            caller: caller.map(|caller| (caller, active)),
        }
    }
}

impl MessageBody for Delivery {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.length)
    }

    fn poll_next_chunk(
        &mut self,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<ntex::util::Bytes, Rc<dyn Error>>>> {
        if self.body.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.body.len().min(PIECE);
        let piece = ntex::util::Bytes::copy_from_slice(&self.body[..length]);
        self.body.advance(length);
        Poll::Ready(Some(Ok(piece)))
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        if let Some((caller, active)) = self.caller.take() {
            ntex::rt::spawn(hold_until_flushed(caller, active));
        }
    }
}

/// Counts a request as in flight until what was written on its connection has left the process.
async fn hold_until_flushed(caller: IoRef, active: Active) {
    const POLL_INTERVAL: Millis = Millis(10);
    while !caller.is_closed() && !caller.with_write_dst_buf(|buffer| buffer.is_empty()) {
        ntex::time::sleep(POLL_INTERVAL).await;
    }
    drop(active);
}
