//! Adapter of the VM list against its stand-in.

use bergamotshift_core::vm::Incarnation;
use bergamotshift_core::vm::Listing;
use bergamotshift_core::vm::Market;
use bergamotshift_core::vm::Role;
use bergamotshift_core::vm::State;
use bergamotshift_platform::http;
use bergamotshift_platform::prelude::*;
use bergamotshift_standin::Fault;
use bergamotshift_standin::vms;

fn listing(name: &str) -> Listing {
    Listing {
        name: name.into(),
        incarnation: Incarnation::new(1),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "zone-a".into(),
        class: "small".into(),
        market: Market::Reclaimable,
        role: Role::Endpoint("llm".into()),
        state: State::Live,
    }
}

async fn adapter(server: &vms::Server) -> http::Vms {
    let base = format!("http://{}", server.address());
    http::Vms::new(
        http::Client::new(http::Settings {
            base,
            ..Default::default()
        })
        .await
        .unwrap(),
    )
}

#[ntex::test]
async fn list_lags_and_notices_do_not() {
    let server = vms::Server::start(vms::Settings { lag: 1 }).unwrap();
    let adapter = adapter(&server).await;
    server.put(listing("vm-1"));
    assert_eq!(adapter.list().await.unwrap(), []);
    assert_eq!(adapter.list().await.unwrap(), [listing("vm-1")]);

    let leaving = Listing {
        state: State::Leaving { notice_ms: 5_000 },
        ..listing("vm-1")
    };
    server.notice(leaving.clone());
    let notices = adapter.notices(0).await.unwrap();
    assert_eq!((notices[0].sequence, &notices[0].vm), (1, &leaving));
    assert_eq!(adapter.notices(1).await.unwrap(), []);
    assert_eq!(adapter.list().await.unwrap(), [listing("vm-1")]);
    assert_eq!(adapter.list().await.unwrap(), [leaving]);
}

#[ntex::test]
async fn unreachable_list_is_refused_and_truncated_list_is_unknown() {
    let server = vms::Server::start(vms::Settings::default()).unwrap();
    let adapter = adapter(&server).await;
    server.put(listing("vm-1"));
    server.fault(Fault::ShortBody { count: 1 });
    assert!(matches!(adapter.list().await, Err(Error::Unknown(_))));
    server.kill();
    assert!(matches!(adapter.list().await, Err(Error::Refused(_))));
    server.restart();
    assert_eq!(adapter.list().await.unwrap(), [listing("vm-1")]);
}
