//! Deferred jobs: kept in the table from the 202 to the result, whichever entry runs them.
//!
//! A job has two rows. The [`Record`] holds the request and at last the result; the [`Open`] row exists only while
//! the job is open and holds the lease. Entries list open rows alone, so finished jobs cost no scan. The result is
//! written together with the removal of the open row at the version its holder knows: a holder that paused past its
//! lease finds another version and leaves no second result.

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
