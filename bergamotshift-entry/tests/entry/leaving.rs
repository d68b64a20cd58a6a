//! Endpoints that the platform lists, gives notice to, and replaces.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_core::vm::Listing;
use bergamotshift_core::vm::Role;
use bergamotshift_core::vm::State;
use bergamotshift_entry::settings::Platform;
use bergamotshift_entry::settings::Watch;
use bergamotshift_standin::engine;
use bergamotshift_standin::engine::text;
use bergamotshift_standin::plain;
use bergamotshift_standin::vms;
use ntex::http::Method;
use serde_json::json;

use crate::site::Layout;
use crate::site::Site;

fn listing(name: &str, service: &str, incarnation: u64, address: SocketAddr) -> Listing {
    Listing {
        name: name.into(),
        incarnation: Incarnation::new(incarnation),
        address,
        zone: "zone-a".into(),
        class: "small".into(),
        market: Market::Reclaimable,
        role: Role::Endpoint(service.into()),
        state: State::Live,
    }
}

fn leaving(listing: &Listing) -> Listing {
    Listing {
        state: State::Leaving { notice_ms: 5_000 },
        ..listing.clone()
    }
}

/// A site whose endpoints come from the VM list alone.
async fn site(vms: &vms::Server, list: Duration) -> Site {
    let mut layout = Layout {
        engines: 0,
        plains: 0,
        ..Layout::default()
    };
    layout.settings.platform = Platform {
        vms: Some(vms.address()),
        ..Platform::default()
    };
    layout.settings.watch = Watch {
        list_interval: list,
        notice_interval: Duration::from_millis(10),
        ..Watch::default()
    };
    Site::start(layout).await
}

async fn until_served(site: &Site) {
    while !site.send(Method::GET, "/app/x", &[], "").await.status.is_success() {}
}

/// Asks the entry how an endpoint stands until it says so.
async fn until_status(site: &Site, vm: &str, field: &str, wanted: bool) {
    loop {
        let status = site.status().await;
        let endpoints = status["endpoints"].as_array().unwrap();
        if endpoints
            .iter()
            .any(|known| known["vm"] == vm && known[field] == wanted)
        {
            return;
        }
    }
}

#[ntex::test]
async fn a_leaving_endpoint_gets_no_new_work_and_no_list_brings_it_back() {
    // One of two endpoints is given notice. The list lags and goes on calling the VM live. New requests go to the
    // other endpoint alone, for good.
    let first = plain::Server::start(plain::Settings::default()).unwrap();
    let second = plain::Server::start(plain::Settings::default()).unwrap();
    let vms = vms::Server::start(vms::Settings::default()).unwrap();
    let (one, two) = (
        listing("one", "app", 1, first.address()),
        listing("two", "app", 1, second.address()),
    );
    vms.put(one.clone());
    vms.put(two);
    let site = site(&vms, Duration::from_millis(10)).await;
    until_served(&site).await;
    vms.notice(leaving(&one));
    until_status(&site, "one", "leaving", true).await;
    // The list calls it live again, as a lagging one would.
    vms.put(one);
    let reads = || vms.counts().get("GET /vms").copied().unwrap_or_default();
    let seen = reads();
    while reads() < seen + 2 {
        tokio::task::yield_now().await;
    }
    let before = first.ledger().len();
    for number in 0..50 {
        let reply = site.send(Method::GET, &format!("/app/{number}"), &[], "").await;
        assert_eq!(reply.status.as_u16(), 200);
    }
    assert_eq!(first.ledger().len(), before);
    until_status(&site, "one", "leaving", true).await;
}

#[ntex::test]
async fn a_replacement_at_the_same_name_is_a_new_endpoint() {
    // A VM is reclaimed and started anew under its name and address. The mark of its former life does not touch it.
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    let vms = vms::Server::start(vms::Settings::default()).unwrap();
    let old = listing("one", "app", 1, server.address());
    vms.put(old.clone());
    let site = site(&vms, Duration::from_millis(10)).await;
    until_served(&site).await;
    vms.notice(leaving(&old));
    until_status(&site, "one", "leaving", true).await;
    let refused = site.send(Method::GET, "/app/x", &[], "").await;
    refused.assert_failure(503, "no_endpoint", "not-run");
    vms.put(listing("one", "app", 2, server.address()));
    until_served(&site).await;
}

#[ntex::test]
async fn a_stream_on_a_leaving_endpoint_moves_without_spending_attempts() {
    // Notice is given to three engines one after the other, and each is gone while the stream runs there. The caller
    // gets one whole stream: announced losses count neither as attempts nor against the request.
    const TOKENS: u32 = 80;
    let settings = engine::Settings {
        token_interval: Duration::from_millis(4),
        ..engine::Settings::default()
    };
    let engines: Vec<_> = (0..5)
        .map(|_| engine::Server::start(settings.clone()).unwrap())
        .collect();
    let vms = vms::Server::start(vms::Settings::default()).unwrap();
    let names = ["one", "two", "three", "four", "five"];
    let listings: Vec<_> = names
        .iter()
        .zip(&engines)
        .map(|(name, engine)| listing(name, "llm", 1, engine.address()))
        .collect();
    listings.iter().cloned().for_each(|listing| vms.put(listing));
    let site = site(&vms, Duration::from_millis(10)).await;
    for name in names {
        until_status(&site, name, "reachable", true).await;
    }
    let body = json!({
        "model": "tiny",
        "messages": [{"role": "user", "content": "the shifts of a week"}],
        "max_tokens": TOKENS,
        "stream": true,
    });
    let mut incoming = site.open_chat(&body).await;
    for losses in 1..=4 {
        incoming.events(losses * 12).await;
        let is_busy = |engine: &engine::Server| engine.ledger().iter().any(crate::stream::is_running);
        let busy = engines.iter().position(is_busy).expect("one runs it");
        vms.notice(leaving(&listings[busy]));
        until_status(&site, names[busy], "leaving", true).await;
        engines[busy].kill();
    }
    let reply = incoming.rest().await;
    assert_eq!(reply.streamed(), (text::expected(&body, TOKENS).unwrap(), true));
}
