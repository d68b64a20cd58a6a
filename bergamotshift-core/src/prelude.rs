//! Commonly used types of the crate.

pub use crate::clock::Instant;
pub use crate::fingerprint::Fingerprint;
pub use crate::key;
pub use crate::name;
pub use crate::outcome::Outcome;
pub use crate::price::Price;
pub use crate::urgency::Urgency;
pub use crate::vm::Incarnation;
pub use crate::vm::Market;
