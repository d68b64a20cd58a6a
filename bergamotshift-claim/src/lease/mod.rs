//! Leases for control duties, with fencing numbers.
//!
//! A duty (the capacity of a service in an availability zone, the placement of its models) is done by one entry at a
//! time. Its row holds who does it and a number that grows with each holder. Three safeguards stand behind each
//! other:
//!
//! - An endpoint that checks refuses an order with a lower number than it has seen.
//! - For endpoints that ignore the number, a holder gives orders only well inside its lease, by its own clock, and a
//!   successor waits out the lease, the longest pause and the longest way of an order before its first one.
//! - Orders are desired state and safe to repeat; a new holder reads the state again and corrects it.
//!
//! The second one rests on a bound on pauses, which no program can promise. The first does not, and the third
//! repairs what slips through.

mod keeper;
mod notice;
mod record;

pub use self::keeper::Action;
pub use self::keeper::Event;
pub use self::keeper::Keeper;
pub use self::keeper::Settings;
pub use self::notice::Notice;
pub use self::record::Record;
pub use self::record::rank;
