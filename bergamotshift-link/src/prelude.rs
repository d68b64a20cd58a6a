//! The types that most users of the crate need.

pub use crate::identity::Identity;
pub use crate::node::Incoming;
pub use crate::node::Node;
pub use crate::node::Settings;
