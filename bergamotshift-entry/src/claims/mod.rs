//! Idempotency keys: a non-repeatable request is executed at most once, and duplicates get the same answer.
//!
//! A worker thread drives each claim ([`send_once`]). The rows that it writes and reads go through one [`Committer`] on
//! the control thread, which batches the writes of all requests into few transactions. Repeatable requests are
//! deduplicated only within the process ([`Windows`]) and never wait for the platform.

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
