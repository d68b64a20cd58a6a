//! Load reports over idle connections to an endpoint that has died.

use core::time::Duration;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::call::Target;
use bergamotshift_endpoint::client::Client;
use bergamotshift_endpoint::client::Settings;

/// Timeout that no exchange in this file reaches.
const TIMEOUT: Duration = Duration::from_secs(20);

const REPORT: &str = r#"{"running":0,"waiting":0,"slots":4}"#;

/// Reads the head of one request. Returns false when the connection ends first.
fn read_request(socket: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if socket.read(&mut byte).unwrap_or(0) == 0 {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

#[ntex::test]
async fn an_idle_connection_does_not_hide_a_dead_endpoint() {
    // An endpoint answers one request, keeps the connection open and then dies while the next request is in flight.
    // The client must report that nothing listens, not a broken exchange: only a death is attributed to the requests
    // that ran on the endpoint.
    drop(rustls::crypto::ring::default_provider().install_default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        assert!(read_request(&mut socket));
        let length = REPORT.len();
        write!(socket, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{REPORT}").unwrap();
        assert!(read_request(&mut socket));
        drop(listener);
    });
    let client = Client::new(Settings::default()).unwrap();
    let target = Target::new(address, false);
    let first = client.load(&target, "/load", TIMEOUT).await;
    assert!(
        !matches!(first, Err(Failure::Broken(_) | Failure::Connect(_))),
        "{first:?}"
    );
    let second = client.load(&target, "/load", TIMEOUT).await;
    assert!(matches!(second, Err(Failure::Connect(_))), "{second:?}");
    endpoint.join().unwrap();
}
