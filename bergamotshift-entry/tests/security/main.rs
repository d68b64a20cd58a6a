//! Tests of who may do what: callers, organisations, endpoints and operators. `docs/SECURITY.md` names each of them.

#[path = "../entry/endpoint.rs"]
mod endpoint;
#[path = "../entry/site.rs"]
#[expect(
    dead_code,
    reason = "the site is made for the tests of the request path, which use all of it"
)]
mod site;

mod authority;
mod callers;
mod endpoints;
mod fuzz;
mod headers;
mod hostile;
mod journal;
mod operators;
mod organisations;
mod streams;
mod tls;
mod wire;
