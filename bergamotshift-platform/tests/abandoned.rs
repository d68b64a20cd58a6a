//! Undelivered data of aborted calls.

use core::time::Duration;
use std::io::ErrorKind;

use bergamotshift_platform::Error;
use bergamotshift_platform::http::Client;
use bergamotshift_platform::http::Settings;
use bergamotshift_standin::silent;
use bytes::Bytes;
use ntex::http::Method;

/// Guards against an aborted order that still takes effect after its sender's successor has replaced it.
///
/// While the receiver does not read, a part of the call stays in the sender's buffer. The sender aborts the call, and
/// then the receiver reads again; the undelivered part must not arrive any more.
#[ntex::test]
async fn call_that_is_given_up_delivers_nothing_more() {
    let receiver = silent::Receiver::start().unwrap();
    let settings = Settings {
        base: format!("http://{}", receiver.address()),
        timeout: Duration::from_millis(300),
        ..Settings::default()
    };
    let client = Client::new(settings).await.unwrap();
    let request = client.request(Method::POST, "/order");
    let result = client
        .send(request, Bytes::from(vec![b'x'; silent::MORE_THAN_BUFFERED]))
        .await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    // A separate task closes the connection; yielding lets this thread run it.
    for _ in 0..16 {
        tokio::task::yield_now().await;
    }
    let received = receiver.read().unwrap();
    assert!(
        received.bytes < silent::MORE_THAN_BUFFERED,
        "all of a call that was given up arrived"
    );
    assert_eq!(received.failure, Some(ErrorKind::ConnectionReset), "{received:?}");
}
