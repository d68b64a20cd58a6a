//! Follows the contents of the store: the operators' document, the registrations and the list of entries.

mod alarm;
mod checkpoint;
mod document;
mod first_read;
mod members;
mod notes;
mod origins;
mod registrations;
mod turn;
mod versions;

pub use self::alarm::Alarm;
pub use self::alarm::MAX_AGE;
pub use self::alarm::Transition;
pub use self::checkpoint::Checkpoint;
pub use self::document::document;
pub use self::first_read::FirstRead;
pub use self::members::members;
pub use self::notes::notes;
pub use self::origins::lookups;
pub use self::origins::store_origins;
pub use self::registrations::registrations;
pub use self::turn::Turn;
pub use self::turn::scale_pause;
pub use self::versions::retire;
pub use self::versions::versions;
