//! Registrations that another writer left, with figures at the ends of their ranges.

use std::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::endpoint::Registration;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::wait_until;

/// Returns registrations that can be decoded and belong to no endpoint.
fn odd_registrations(sound: &Registration) -> Vec<Registration> {
    let odd = |id: &str| Registration {
        id: id.into(),
        ..sound.clone()
    };
    let addresses = ["0.0.0.0:0", "255.255.255.255:65535", "[::1]:1", "127.0.0.1:1"];
    let mut all: Vec<_> = addresses
        .iter()
        .map(|address| Registration {
            address: address.parse().expect("it is an address"),
            ..odd(address)
        })
        .collect();
    all.push(Registration {
        slots: u32::MAX,
        born: u64::MAX,
        leaves_in: Some(Duration::MAX),
        ..odd("large")
    });
    all.push(Registration {
        slots: 0,
        service: "".into(),
        zone: "".into(),
        version: "".into(),
        ..odd("")
    });
    all.push(Registration {
        version: "v".repeat(60_000).into(),
        zone: name::Zone::new("z".repeat(60_000)),
        ..odd(&"i".repeat(200))
    });
    all
}

/// Guards against a process that ends, or stops to follow the registrations, beside an odd one.
#[test]
fn odd_registrations_keep_no_entry_from_serving_and_following() {
    let endpoint = Endpoint::plain("e1", "one");
    let site = Site::new(&[&endpoint]);
    let running = site.start();
    for odd in odd_registrations(&endpoint.registration("staff")) {
        lock(&site.backend).register(odd);
    }
    let started = site.launch("entry-2", &[running.listen.peers]);
    wait_until("the second one is ready", || started.is_ready());
    let next = Endpoint::plain("e2", "two");
    lock(&site.backend).register(next.registration("staff"));
    lock(&site.backend).remove("e1");
    for daemon in [&running, &started] {
        let mut consecutive = 0;
        wait_until("it follows the registrations", || {
            let answer = Caller::new(daemon).ask("GET", "/checkin/1", "r", "");
            consecutive = if answer.text() == "two" { consecutive + 1 } else { 0 };
            consecutive == 10
        });
    }
}
