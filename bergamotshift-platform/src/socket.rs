//! Socket options of outgoing connections.

use core::time::Duration;
use std::io;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Makes a connection discard its undelivered data when it is closed, by setting `SO_LINGER` to zero.
///
/// Without this option, the operating system keeps sending buffered data for minutes after a connection is closed. If a
/// call is written during a network partition and then aborted, its data still arrives once the partition heals: an
/// order with a fencing number that a successor has replaced, or a request that runs although its caller was told that
/// it did not. Closing with a reset discards that data. No data is lost by it, because connections are only closed
/// after their call was answered or aborted.
///
/// # Errors
///
/// Returns the error of the operating system if the option cannot be set.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
