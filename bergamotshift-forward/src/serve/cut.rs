//! Terminates a caller's connection so that an incomplete response does not look complete.

use ntex::io::IoRef;
use ntex::time::Millis;

/// Terminates a connection after its written data was flushed, or after one second.
///
/// When a response body fails, the HTTP library writes an error message of its own into the middle of the body. A
/// caller that counts bytes would take the message for the rest of the response. The library writes nothing to a
/// terminated connection.
pub async fn flush_and_terminate(connection: IoRef) {
    const POLL_INTERVAL: Millis = Millis(2);
    const MAX_POLLS: usize = 500;
    for _ in 0..MAX_POLLS {
        if connection.is_closed() || connection.with_write_dst_buf(|buffer| buffer.is_empty()) {
            break;
        }
        ntex::time::sleep(POLL_INTERVAL).await;
    }
    connection.terminate();
}
