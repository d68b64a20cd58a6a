//! Breaks a caller's connection off so that a half answer cannot look whole.

use ntex::io::IoRef;
use ntex::time::Millis;

/// Cuts a connection behind what was written to it.
///
/// Failure: the HTTP library answers a body that fails with an error message of its own, written into the middle of
/// the body. Symptom: a caller that counts bytes takes the message for the rest of its answer. On a connection that is
/// cut already the library writes nothing.
pub async fn flush_and_terminate(connection: IoRef) {
    const LOOK: Millis = Millis(2);
    const LOOKS: usize = 500;
    for _ in 0..LOOKS {
        if connection.is_closed() || connection.with_write_dst_buf(|buffer| buffer.is_empty()) {
            break;
        }
        ntex::time::sleep(LOOK).await;
    }
    connection.terminate();
}
