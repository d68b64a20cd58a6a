//! Tests of what operators see of an entry: traces, metrics and their page.

#[path = "../entry/site.rs"]
#[expect(
    dead_code,
    reason = "the site is made for the tests of the request path, which use all of it"
)]
mod site;

mod closed;
mod collector;
mod endpoint;
mod log;
mod metrics;
mod reading;
mod trace;
