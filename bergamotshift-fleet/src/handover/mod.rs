//! Where the open requests of a leaving entry go, and how a caller finds its own again.
