//! Duties that one entry performs for all: reporting the usage of each window, ordering endpoints, directing rollouts.
//!
//! A lease in the store determines their holder. The holder checks by its own clock before each call that the lease is
//! still valid, so a holder that was suspended makes no call.

mod clock;
mod handover;
mod lease;
mod progress;
mod reports;
mod rollouts;
mod tally;
mod task;
mod usage;

pub use self::clock::Clock;
pub use self::handover::Handover;
pub use self::lease::Change;
pub use self::lease::Lease;
pub use self::progress::Progress;
pub use self::reports::Counts;
pub use self::reports::Reports;
pub use self::tally::Tally;
pub use self::tally::Windows;
pub use self::task::run;
