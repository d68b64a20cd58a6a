//! Calls that are given up.

use core::time::Duration;
use std::io::ErrorKind;

use bergamotshift_platform::Error;
use bergamotshift_platform::http::Client;
use bergamotshift_platform::http::Settings;
use bergamotshift_standin::silent;
use bytes::Bytes;
use ntex::http::Method;

/// The operator sees an order carried out that its sender had given up and its successor had replaced.
///
/// The receiver is silent, so the rest of a call waits at the sender; the sender gives the call up; then the receiver
/// reads again. What was written and not delivered must not come any more, or an order counts after its time.
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
    let ending = client
        .send(request, Bytes::from(vec![b'x'; silent::MORE_THAN_BUFFERED]))
        .await;
    assert!(matches!(ending, Err(Error::Unknown(_))), "{ending:?}");
    // The connection is closed by a task of its own, which the next turns of this thread run.
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
