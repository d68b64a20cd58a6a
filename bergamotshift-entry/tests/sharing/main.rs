//! Tests of admission control and isolation against stand-in endpoints over loopback.

mod apart;
mod flood;
mod limits;
#[expect(dead_code, reason = "the site serves the tests of the request path too")]
#[path = "../entry/site.rs"]
mod site;
