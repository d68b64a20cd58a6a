//! Whole forwarding daemons between callers and endpoints on loopback.

mod answers;
mod bad_input;
mod callers;
mod duties;
mod endpoint;
mod fleet;
mod large;
mod limits;
mod outside;
mod site;
mod stop;
mod streams;
