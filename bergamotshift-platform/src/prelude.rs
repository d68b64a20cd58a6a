//! Commonly used traits and types of this crate.

pub use crate::Platform;
pub use crate::cloud::Cloud;
pub use crate::error::Error;
pub use crate::objects::Objects;
pub use crate::objects::Precondition;
pub use crate::table::Page;
pub use crate::table::Table;
pub use crate::vms::Vms;
pub use crate::weights::Weights;
