//! Leases for control duties, with fencing numbers.
//!
//! A duty, such as the capacity of a service in an availability zone or the placement of its models, is performed by
//! one entry at a time. Its row contains the holder and a fencing number that increases with each holder. There are
//! three safeguards:
//!
//! - An endpoint that checks fencing numbers refuses an order with a lower number than it has seen.
//! - For endpoints that ignore the number, a holder sends orders only well before its lease expires, by its own clock.
//!   A successor waits until the lease has expired and then for the longest time that an order may take, including a
//!   pause of the sending process, before it sends its first one.
//! - Orders describe a desired state and are safe to repeat. A new holder reads the current state and corrects it.
//!
//! The second safeguard assumes a limit on pauses, which no process can guarantee. The first one does not, and the
//! third one corrects the effects of an order that arrives late all the same.

mod keeper;
mod notice;
mod record;
mod state;

pub use self::keeper::Action;
pub use self::keeper::Event;
pub use self::keeper::Keeper;
pub use self::keeper::Settings;
pub use self::notice::Notice;
pub use self::record::Record;
pub use self::record::rank;
