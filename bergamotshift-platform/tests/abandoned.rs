//! Calls that are given up.

use core::time::Duration;
use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;

use bergamotshift_platform::Error;
use bergamotshift_platform::http::Client;
use bergamotshift_platform::http::Settings;
use bytes::Bytes;
use ntex::http::Method;

/// More than the system's buffers of both ends hold together, so that a part of it waits at the sender.
const BODY: usize = 64 << 20;

/// How long the receiver waits for more until nothing more will come.
const SILENCE: Duration = Duration::from_secs(5);

/// The operator sees an order carried out that its sender had given up and its successor had replaced.
///
/// The receiver is silent, so the rest of a call waits at the sender; the sender gives the call up; then the receiver
/// reads again. What was written and not delivered must not come any more, or an order counts after its time.
#[ntex::test]
async fn call_that_is_given_up_delivers_nothing_more() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (gave_up, is_given_up) = mpsc::channel::<()>();
    let receiver = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        is_given_up.recv().unwrap();
        stream.set_read_timeout(Some(SILENCE)).unwrap();
        let mut received = 0;
        let mut buffer = vec![0; 1 << 20];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return (received, None),
                Ok(length) => received += length,
                Err(error) => return (received, Some(error.kind())),
            }
        }
    });
    let settings = Settings {
        base: format!("http://{address}"),
        timeout: Duration::from_millis(300),
        ..Settings::default()
    };
    let client = Client::new(settings).await.unwrap();
    let request = client.request(Method::POST, "/order");
    let ending = client.send(request, Bytes::from(vec![b'x'; BODY])).await;
    assert!(matches!(ending, Err(Error::Unknown(_))), "{ending:?}");
    // The connection is closed by a task of its own, which the next turns of this thread run.
    for _ in 0..16 {
        tokio::task::yield_now().await;
    }
    gave_up.send(()).unwrap();
    let (received, ended) = receiver.join().unwrap();
    assert!(received < BODY, "all of a call that was given up arrived");
    assert_eq!(ended, Some(ErrorKind::ConnectionReset), "{received} bytes arrived");
}
