//! Tests of complete forwarding daemons with callers and endpoints on loopback addresses.

mod abandoned;
mod answers;
mod bad_input;
mod callers;
mod crashing;
mod cut_off;
mod duties;
mod endpoint;
mod fleet;
mod gate;
mod growth;
mod large;
mod leaving;
mod limits;
mod link;
mod outside;
mod port;
mod restore;
mod rollouts;
mod site;
mod sockets;
mod start;
mod stop;
mod streams;
mod throttled;
mod tolerance;
