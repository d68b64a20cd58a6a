//! Calls whose bodies take longer than the timeout over a slow link.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use bergamotshift_platform::Error;
use bergamotshift_platform::http::Client;
use bergamotshift_platform::http::Settings;
use bytes::Bytes;
use ntex::http::Method;
use ntex::http::StatusCode;

/// Timeout of a call, which is far shorter than the transfer of the body.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Size of the body, in bytes: several times the capacity of the operating system's buffers.
const BODY_BYTES: usize = 32 << 20;

/// Number of bytes that the platform reads at a time.
const READ_BYTES: usize = 512 << 10;

/// Interval between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(15);

/// Starts a platform that accepts one call and reads it slowly.
fn platform() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let (stream, _) = listener.accept()?;
        serve(stream)
    });
    Ok(address)
}

/// Reads a request slowly and answers it.
fn serve(mut stream: TcpStream) -> io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let mut chunk = vec![0; READ_BYTES];
    for _ in 0..BODY_BYTES / READ_BYTES {
        thread::sleep(READ_INTERVAL);
        stream.read_exact(&mut chunk)?;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
}

/// Guards against large jobs that are always refused over a slow link.
///
/// A job's body is stored in the object store before the job is accepted. If the transfer takes longer than the
/// timeout, a fixed timeout aborts it while it makes progress, and each retry starts over.
#[ntex::test]
async fn a_long_body_that_keeps_moving_is_delivered() {
    let settings = Settings {
        base: format!("http://{}", platform().unwrap()),
        timeout: CALL_TIMEOUT,
        ..Settings::default()
    };
    let client = Client::new(settings).await.unwrap();
    let request = client.request(Method::PUT, "/object");
    let result: Result<_, Error> = client.send(request, Bytes::from(vec![b'x'; BODY_BYTES])).await;
    assert_eq!(result.map(|answer| answer.status), Ok(StatusCode::OK));
}
