//! Idempotency keys: at most one run of what must not be repeated, one answer to what is sent again.
//!
//! A worker thread drives each claim ([`send_once`]); the rows it writes and reads go through one [`Committer`] on the
//! control thread, which puts the writes of all requests into few transactions. Requests that may be repeated join
//! and replay inside the process alone ([`Windows`]) and never wait for the platform.

mod committer;
mod convert;
mod drive;
mod error;
mod join;
mod key;
mod store;
mod windows;

pub use self::committer::Committer;
pub use self::convert::from_headers;
pub use self::convert::from_whole;
pub use self::convert::to_headers;
pub use self::convert::to_whole;
pub use self::drive::Conclusion;
pub use self::drive::claim;
pub use self::drive::send_once;
pub use self::error::Error;
pub use self::join::Lookup;
pub use self::join::share_answer;
pub use self::key::key_from_fields;
pub use self::store::Inbox;
pub use self::store::Store;
pub use self::windows::Decision;
pub use self::windows::Leader;
pub use self::windows::Windows;
