//! Frames and questions between entries, carried by QUIC with mutual TLS.
//!
//! A [`Node`](node::Node) owns one UDP socket. Small frames are sent as datagrams; larger frames and questions use
//! streams. Connections are opened on first use, have no keep-alives, and are closed after ten idle minutes by default.
//! The handshake fails in either direction with an entry that presents no certificate of the private authority.

pub mod identity;
pub mod node;
pub mod prelude;
