//! I/O of the configuration crate's acceptance protocol, with rows in the table and content in the object store.
//!
//! [`follow::run`] runs one entry's member: it puts accepted versions in force and stages proposals for its zone.
//! [`propose::run`] carries out one operator's change. The decisions are made in the configuration crate.

pub mod follow;
pub mod peers;
pub mod propose;
pub mod store;

pub use peers::Peers;
pub use store::Store;
