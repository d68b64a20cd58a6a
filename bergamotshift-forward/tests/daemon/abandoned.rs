//! Exchanges with endpoints, and calls under the duties' lease, that are given up.

use core::time::Duration;
use std::io::ErrorKind;
use std::rc::Rc;

use bergamotshift_claim::lease::Keeper;
use bergamotshift_claim::lease::Settings;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_forward::duty::Change;
use bergamotshift_forward::duty::Clock;
use bergamotshift_forward::duty::Lease;
use bergamotshift_forward::exchange::Connection;
use bergamotshift_forward::exchange::Pool;
use bergamotshift_forward::outside::Addresses;
use bergamotshift_forward::outside::Kind;
use bergamotshift_platform::Error;
use bergamotshift_standin::silent;
use ntex::http::HeaderMap;
use ntex::http::Method;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use tokio::time::timeout;

/// A caller is told that its request failed, and the request runs seconds later.
///
/// The endpoint's zone is cut off, so the rest of the request waits at the entry; the entry gives the request up; the cut
/// heals. What was not delivered must not come any more, or the endpoint runs what its caller was told is over.
#[ntex::test]
async fn a_request_that_is_given_up_delivers_nothing_more() {
    let endpoint = silent::Receiver::start().unwrap();
    let mut connection = Connection::open(endpoint.address(), Duration::from_secs(1))
        .await
        .unwrap();
    let request = vec![b'x'; silent::MORE_THAN_BUFFERED];
    let exchange = connection.send(&request, &Method::POST, |_| true);
    timeout(Duration::from_millis(300), exchange)
        .await
        .expect_err("the endpoint is silent");
    drop(connection);
    let received = endpoint.read().unwrap();
    assert!(
        received.bytes < silent::MORE_THAN_BUFFERED,
        "all of a request that was given up arrived"
    );
    assert_eq!(received.failure, Some(ErrorKind::ConnectionReset), "{received:?}");
}

/// A request reaches an endpoint three seconds after a cut healed, long after the endpoint left and the caller was told that
/// the request failed.
///
/// The endpoint's zone is cut off, and a connection that was idle till then gets a request. The system finds the peer silent
/// and ends the connection without a reset, so what the cut held back is delivered after all. Only this program gives a
/// connection up, which resets it, whether it was used before or not.
#[ntex::test]
async fn the_system_gives_up_no_connection_with_a_request_under_way() {
    let endpoint = silent::Receiver::start().unwrap();
    let address = endpoint.address();
    let connection = Connection::open(address, Duration::from_secs(1)).await.unwrap();
    assert!(!connection.has_system_timeout().unwrap(), "a new one is");
    let (now, mut pool) = (Instant::from_secs(1), Pool::default());
    pool.put(now, address, connection, &HeaderMap::new());
    let mut connection = pool.take(now, address).expect("it was kept");
    let exchange = connection.send(b"x", &Method::POST, |_| true);
    timeout(Duration::from_millis(50), exchange)
        .await
        .expect_err("the endpoint is silent");
    assert!(!connection.has_system_timeout().unwrap(), "one with a request is");
}

/// A request is sent over a connection whose peer went silent without a word while it was idle, and is lost. Nobody watches
/// idle connections, so one that was idle for longer than a moment is not used again.
#[ntex::test]
async fn a_connection_that_was_idle_for_long_is_not_used_again() {
    let endpoint = silent::Receiver::start().unwrap();
    let address = endpoint.address();
    let (now, mut pool) = (Instant::from_secs(1), Pool::default());
    for (idle, is_kept) in [
        (Duration::from_millis(900), true),
        (Duration::from_millis(1_100), false),
    ] {
        let connection = Connection::open(address, Duration::from_secs(1)).await.unwrap();
        pool.put(now, address, connection, &HeaderMap::new());
        assert_eq!(pool.take(now + idle, address).is_some(), is_kept, "{idle:?}");
    }
}

/// The operator sees an order under an old fencing number after one under a newer number.
///
/// The holder orders in time, the cloud does not answer, and the lease ends meanwhile. The call has to end with the lease,
/// whatever the call's own time limit is: a successor may order from then on.
#[ntex::test]
async fn a_call_under_the_lease_ends_with_the_lease() {
    let connect = bergamotshift_core::plugin::find::<Kind>("memory").unwrap().connect;
    let addresses = Addresses {
        store: SmolStr::new_static("lease-ends"),
        cloud: None,
    };
    let outside = connect(addresses).await.unwrap();
    let settings = Settings {
        length: Duration::from_millis(400),
        margin: Duration::ZERO,
        max_order_delay: Duration::ZERO,
        ..Settings::default()
    };
    let keeper = Keeper::new(settings, "duties".into(), "entry-a".into(), attempt::Id::new(1));
    let began = std::time::Instant::now();
    let clock = Clock::new(move || Instant::ZERO + began.elapsed());
    let mut lease = Lease::new(keeper, Rc::clone(&outside.table), clock, Pcg64Mcg::new(1));
    assert_eq!(lease.step().await, [Change::Begun(1)]);
    assert_eq!(lease.permit(false), Some(1));
    let call = core::future::pending::<Result<(), Error>>();
    let ending = timeout(Duration::from_secs(20), lease.within(call)).await;
    let ending = ending.expect("it ended with the lease");
    assert!(matches!(ending, Err(Error::Unknown(_))), "{ending:?}");
    assert_eq!(lease.permit(false), None);
    let late = lease.within(core::future::pending::<Result<(), Error>>()).await;
    assert!(matches!(late, Err(Error::Unknown(_))), "{late:?}");
}
