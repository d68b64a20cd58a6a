//! Tests of the request path against stand-in endpoints over loopback.

mod path;
mod site;
