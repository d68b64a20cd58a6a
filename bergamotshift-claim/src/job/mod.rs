//! Deferred jobs, which are stored in the table from the 202 response to the result, whichever entry runs them.
//!
//! A job has two rows. The [`Record`] contains the request and finally the result. The [`Open`] row contains the lease
//! and exists only while the job is open. Entries list only open rows, so completed jobs do not slow down the scan. One
//! transaction writes the result and deletes the open row, on condition that the open row has the version that the
//! holder wrote last. A holder that was paused past its lease finds another version and writes no second result.

mod id;
mod record;
mod runner;
mod watch;

pub use self::id::Id;
pub use self::id::SHARDS;
pub use self::id::open_partition;
pub use self::record::Lease;
pub use self::record::Open;
pub use self::record::Record;
pub use self::record::Request;
pub use self::record::State;
pub use self::runner::Action;
pub use self::runner::Completion;
pub use self::runner::Event;
pub use self::runner::Runner;
pub use self::runner::Settings;
pub use self::watch::Candidate;
pub use self::watch::Watch;
pub use self::watch::shards;
