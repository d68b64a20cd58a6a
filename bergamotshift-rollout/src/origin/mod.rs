//! Versions at which streams may begin, and what follows for a stream whose beginning an entry does not know.
//!
//! A stream goes on only at the version that began it. An entry that knows nothing of a stream must not conclude from the
//! versions that it knows of: it may be cut off, suspended or just started, or its view may lag. Therefore a version is
//! *declared* in the store before a stream begins at it. If the store, read after a caller asked to take a stream up,
//! contains a single declared version of the service, that one began the stream.
//!
//! - [`Register`]: at which versions this entry may let streams begin.
//! - [`Wanted`]: at which versions a request may run, and a stream go on.
//! - [`Trust`]: whether the declarations in the store are complete. A store that was restored from a copy may lack some.
//! - [`Retirement`]: when rows that nothing uses any more may be removed.
//!
//! ```
//! use bergamotshift_rollout::origin::Register;
//!
//! let mut register = Register::default();
//! register.update([("v1", 1), ("v2", 2)]);
//! assert!(!register.is_declared(&"v2"));
//! let declaration = register.undeclared().expect("both are undeclared");
//! // The store has acknowledged the rows.
//! register.confirm(&declaration);
//! assert!(register.is_declared(&"v2"));
//! // The version returns with another incarnation, after a time that this entry may have missed.
//! register.update([("v1", 1), ("v2", 3)]);
//! assert!(!register.is_declared(&"v2"));
//! ```

mod register;
mod retirement;
mod trust;
mod wanted;

use core::time::Duration;

pub use self::register::Declaration;
pub use self::register::Register;
pub use self::retirement::Retirement;
pub use self::trust::Trust;
pub use self::wanted::Wanted;

/// Longest time for which an endpoint serves after its registration was removed.
const LINGER: Duration = Duration::from_secs(30);

/// Longest time between two looks within which what both showed counts as true all the while.
const MAX_GAP: Duration = Duration::from_secs(30);

/// Returns the time for which a declaration stays in the store after the last registration of its version was removed, for
/// streams of a lifetime.
pub const fn retention(lifetime: Duration) -> Duration {
    lifetime.saturating_add(LINGER)
}
