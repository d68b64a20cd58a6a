//! Frames between entries, carried by QUIC with mutual TLS.
