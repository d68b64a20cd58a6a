//! Routing policies, latency estimates, prefix hints and reclaim plans without I/O.
