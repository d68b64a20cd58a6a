//! Re-exports of the types that most users of the crate need.

pub use crate::config::Config;
pub use crate::config::Organisation;
pub use crate::config::Route;
pub use crate::config::Service;
pub use crate::folder;
