//! Commonly used types of the crate.

pub use crate::answer::Answer;
pub use crate::batch::Batch;
pub use crate::digest::Digest;
pub use crate::driver;
pub use crate::record::Record;
pub use crate::scope::Scope;
pub use crate::wall::Clock;
pub use crate::window::Window;
