//! Frames and questions between entries, carried by QUIC with mutual TLS.
//!
//! A [`Node`](node::Node) owns one UDP socket. Small frames go as datagrams, larger ones and handover on streams.
//! Connections are opened when they are first needed, kept without keep-alives, and closed after ten idle minutes. An
//! entry that does not show a certificate of the private authority gets no further than the handshake, in either
//! direction.

pub mod identity;
pub mod node;
pub mod prelude;
