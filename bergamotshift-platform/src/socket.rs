//! Options of the connections that this system opens.

use core::time::Duration;
use std::io;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Makes a connection drop what it has not delivered when it is closed.
///
/// Failure: a call is written while a network partition swallows packets, is given up, and its connection is closed. The
/// system goes on sending what was written, for minutes. Symptom: the partition heals, and an order arrives under a
/// fencing number that a successor has replaced, or an endpoint runs a request whose caller was told otherwise. A
/// connection that is reset has nothing left to send, and whatever is closed in this system was answered or given up.
///
/// # Errors
///
/// Returns the system's error when the option cannot be set.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
