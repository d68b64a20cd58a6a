//! Tests of the status page and the status document on the operators' address.

#[path = "../entry/site.rs"]
#[expect(
    dead_code,
    reason = "the site is made for the tests of the request path, which use all of it"
)]
mod site;

#[path = "../observe/closed.rs"]
mod closed;

mod page;
mod status;
