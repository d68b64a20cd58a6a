//! Adapters of the cloud API and the weight store against their stand-ins, created by the `http` kind of platform.

use core::time::Duration;
use std::sync::mpsc;

use bergamotshift_core::plugin;
use bergamotshift_core::vm::Market;
use bergamotshift_core::vm::Role;
use bergamotshift_platform::Kind;
use bergamotshift_platform::Settings;
use bergamotshift_platform::cloud::Spec;
use bergamotshift_platform::prelude::*;
use bergamotshift_platform::weights;
use bergamotshift_standin as standin;
use bergamotshift_standin::Fault;
use bergamotshift_standin::cloud::Event;

fn spec(name: &str) -> Spec {
    Spec {
        name: name.into(),
        zone: "zone-a".into(),
        class: "large".into(),
        market: Market::Reclaimable,
        role: Role::Endpoint("llm".into()),
    }
}

async fn platform(settings: Settings) -> Platform {
    let kind = plugin::find::<Kind>("http").expect("it registered itself");
    (kind.connect)(settings).await.unwrap()
}

async fn cloud(server: &standin::cloud::Server) -> std::rc::Rc<dyn Cloud> {
    let cloud = Some(format!("http://{}/", server.address()).into());
    let platform = platform(Settings {
        cloud,
        ..Default::default()
    });
    platform.await.cloud.expect("it has an address")
}

/// Waits for the next event.
fn next(events: &mpsc::Receiver<Event>) -> Event {
    events.recv_timeout(Duration::from_secs(30)).expect("the event comes")
}

#[ntex::test]
async fn vm_starts_once_however_often_it_is_ordered() {
    let (sender, events) = mpsc::channel();
    let settings = standin::cloud::Settings::default();
    let server = standin::cloud::Server::start(settings, move |event| drop(sender.send(event))).unwrap();
    let cloud = cloud(&server).await;
    server.fault(Fault::LoseAnswerAfterWrite { count: 1 });
    let lost = cloud.start(spec("vm-1")).await;
    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    cloud.start(spec("vm-1")).await.unwrap();
    assert!(matches!(next(&events), Event::Started(started) if started.name.as_str() == "vm-1"));
    cloud.stop("vm-1".into()).await.unwrap();
    cloud.stop("vm-1".into()).await.unwrap();
    assert!(matches!(next(&events), Event::Stopped(_)));
    drop(server);
    assert_eq!(events.try_iter().count(), 0);
}

#[ntex::test]
async fn name_of_another_vm_is_a_conflict() {
    let server = standin::cloud::Server::start(standin::cloud::Settings::default(), drop).unwrap();
    let cloud = cloud(&server).await;
    cloud.start(spec("vm-1")).await.unwrap();
    let other = Spec {
        zone: "zone-b".into(),
        ..spec("vm-1")
    };
    assert_eq!(cloud.start(other).await, Err(Error::Conflict));
}

// Guards against misreading the refusal of a replacement VM. The zone has room for one VM of the class, so the second
// start is refused for lack of capacity until the first VM is reclaimed.
#[ntex::test]
async fn start_beyond_the_capacity_is_refused_until_room_is_free() {
    let server = standin::cloud::Server::start(standin::cloud::Settings::default(), drop).unwrap();
    server.set_capacity("zone-a".into(), "large".into(), Market::Reclaimable, 1);
    let cloud = cloud(&server).await;
    cloud.start(spec("vm-1")).await.unwrap();
    assert_eq!(cloud.start(spec("vm-2")).await, Err(Error::NoCapacity));
    server.reclaim(&"vm-1".into());
    cloud.start(spec("vm-2")).await.unwrap();
    server.fault(Fault::Refuse { count: 1 });
    assert_eq!(cloud.start(spec("vm-3")).await, Err(Error::NoCapacity));
    assert_eq!(server.vms().len(), 1);
}

#[ntex::test]
async fn weights_are_given_out_at_the_stores_rate() {
    let server = standin::weights::Server::start(standin::weights::Settings {
        models: [("planner".into(), 2_000)].into(),
        burst: 1,
        refill: Duration::from_hours(1),
        bytes_per_second: 1_000,
    });
    let server = server.unwrap();
    let weights = Some(format!("http://{}", server.address()).into());
    let platform = platform(Settings {
        weights,
        ..Default::default()
    });
    let store = platform.await.weights.expect("it has an address");
    let spec = |model: &str| weights::Spec {
        model: model.into(),
        version: "1".into(),
    };
    let ticket = store.fetch(spec("planner")).await.unwrap();
    assert_eq!((ticket.bytes, ticket.estimate_ms), (2_000, 2_000));
    let throttled = store.fetch(spec("planner")).await;
    let Err(Error::Throttled {
        retry_after: Some(wait),
    }) = throttled
    else {
        panic!("expected to be throttled: {throttled:?}");
    };
    assert!(wait > Duration::from_mins(30));
    assert!(matches!(store.fetch(spec("unknown")).await, Err(Error::Refused(_))));
}

#[ntex::test]
async fn part_without_an_address_is_absent() {
    let platform = platform(Settings::default()).await;
    assert!(platform.table.is_none() && platform.objects.is_none() && platform.vms.is_none());
}
