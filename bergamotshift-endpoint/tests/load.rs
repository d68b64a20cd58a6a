//! Load reports over connections that are older than the endpoint's end.

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

/// Longer than any exchange of this file; no test waits for it to pass.
const TIMEOUT: Duration = Duration::from_secs(20);

const REPORT: &str = r#"{"running":0,"waiting":0,"slots":4}"#;

/// Reads one request; returns whether there was one.
fn request(socket: &mut TcpStream) -> bool {
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
async fn a_kept_connection_does_not_hide_a_death() {
    // An endpoint answers one question and keeps the connection. Then it dies: nothing listens any longer, and the
    // connection ends once the next question is on its way. Who asks must learn that nothing listens there, and not
    // that the endpoint took the question and gave no answer: only a death counts against the work that ran there.
    drop(rustls::crypto::ring::default_provider().install_default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        assert!(request(&mut socket));
        let length = REPORT.len();
        write!(socket, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{REPORT}").unwrap();
        assert!(request(&mut socket));
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
