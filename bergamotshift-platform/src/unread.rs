//! Bound of the received bytes that wait to be understood.

use core::mem;
use std::io;

use ntex::io::FilterBuf;
use ntex::io::FilterLayer;
use ntex::util::BytePages;

/// Maximum number of received bytes that are not taken from a connection, in bytes.
///
/// The client library stops reading at a few kilobytes, but reads on as long as it cannot decode what has arrived. It bounds
/// heads alone, so the line with the size of a chunk could fill the memory.
const MAX_UNREAD: usize = 256 * 1024;

/// Layer of a connection that ends it when too many received bytes wait to be understood.
#[derive(Clone, Copy, Debug)]
pub struct Unread;

impl FilterLayer for Unread {
    fn process_read_buf(&self, buf: &FilterBuf<'_>) -> io::Result<()> {
        buf.with_read_buffers(|source, target| {
            if let Some(source) = source {
                if target.is_empty() {
                    mem::swap(source, target);
                } else {
                    target.extend_from_slice(source);
                    source.clear();
                }
            }
            if target.len() > MAX_UNREAD {
                return Err(io::Error::other("too many bytes came that are no answer"));
            }
            Ok(())
        })
    }

    fn process_write_buf(&self, buf: &FilterBuf<'_>) -> io::Result<()> {
        buf.with_write_buffers(BytePages::move_to);
        Ok(())
    }
}
