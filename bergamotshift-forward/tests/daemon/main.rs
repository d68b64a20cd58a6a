//! Whole forwarding daemons between callers and endpoints on loopback.

mod abandoned;
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
mod start;
mod stop;
mod streams;
