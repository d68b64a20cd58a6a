//! A whole deployment in one process, on loopback: stand-ins for the platform and the endpoints, and real entries.
//!
//! The folder says which services there are; the demo starts their workers as stand-ins, spread over the first zones
//! of the folder, lists them on a stand-in of the platform, and starts entries that know nothing of the difference.
//! The entries form a fleet: a private authority issues their certificates in memory, and the first is the seed.

pub mod authority;
pub mod books;
pub mod folder;
pub mod services;
pub mod site;
pub mod target;
pub mod worker;

pub use site::Site;
