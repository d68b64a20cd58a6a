//! Follows the contents of the store: the operators' document, the registrations and the list of entries.

mod document;
mod knowledge;
mod members;
mod notes;
mod registrations;

pub use self::document::document;
pub use self::knowledge::Alarm;
pub use self::knowledge::Checkpoint;
pub use self::knowledge::FirstRead;
pub use self::knowledge::MAX_AGE;
pub use self::knowledge::Transition;
pub use self::knowledge::Turn;
pub use self::knowledge::scale_pause;
pub use self::members::members;
pub use self::notes::notes;
pub use self::registrations::registrations;
