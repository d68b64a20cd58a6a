//! Helpers shared by the tests.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::document::Kind;
use bergamotshift_forward::document::Route;
use bergamotshift_forward::document::Split;
use bergamotshift_forward::endpoint::Registration;
use bergamotshift_forward::outside::Cursor;

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub fn registration(id: &str, zone: &str) -> Registration {
    Registration {
        id: id.into(),
        born: 0,
        version: "v1".into(),
        service: "planner".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.into(),
        slots: 64,
        leaving: false,
        market: Market::Reclaimable,
        leaves_in: None,
        written: Cursor::default(),
    }
}

pub fn route(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "roster.example".into(),
        prefix: prefix.into(),
        kind: Kind::Stream,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(800),
        pause: Duration::from_millis(250),
        urgency: 0,
        splits: vec![Split {
            service: "planner".into(),
            weight: 1,
        }],
        attempts: 2,
        public: false,
        resumable: true,
    }
}
