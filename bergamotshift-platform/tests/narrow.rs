//! Calls whose bodies take longer over a narrow link than a call may take.

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

/// How long a call may take: far less than the body does.
const PATIENCE: Duration = Duration::from_millis(200);

/// The body, in bytes: several times what the system's buffers hold.
const LENGTH: usize = 32 << 20;

/// How much the platform reads at a time, in bytes.
const PIECE: usize = 512 << 10;

/// The time between two reads.
const GAP: Duration = Duration::from_millis(15);

/// Starts a platform that takes one call, and reads it slowly.
fn platform() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let (stream, _) = listener.accept()?;
        take(stream)
    });
    Ok(address)
}

fn take(mut stream: TcpStream) -> io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let mut piece = vec![0; PIECE];
    for _ in 0..LENGTH / PIECE {
        thread::sleep(GAP);
        stream.read_exact(&mut piece)?;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
}

/// A caller's large job is refused each time, although the platform takes what it is sent.
///
/// The job's body is put into the platform's object store before it is accepted. Over a narrow link that takes longer than a
/// call may; the call is given up although the body moves all the while, and the next one begins anew.
#[ntex::test]
async fn a_long_body_that_keeps_moving_is_delivered() {
    let settings = Settings {
        base: format!("http://{}", platform().unwrap()),
        timeout: PATIENCE,
        ..Settings::default()
    };
    let client = Client::new(settings).await.unwrap();
    let request = client.request(Method::PUT, "/object");
    let ending: Result<_, Error> = client.send(request, Bytes::from(vec![b'x'; LENGTH])).await;
    assert_eq!(ending.map(|answer| answer.status), Ok(StatusCode::OK));
}
