//! Carries the acceptance protocol of the configuration crate: rows to the table, content to the object store.
//!
//! [`follow::run`] runs one entry's member: it puts accepted versions in force and stages proposals for its zone.
//! [`propose::run`] carries one operator's change to its outcome. Both decide nothing themselves.

pub mod follow;
pub mod peers;
pub mod propose;
pub mod store;

pub use peers::Peers;
pub use store::Store;
