//! The types that most users of the crate need.

pub use crate::endpoint;
pub use crate::kernel::Action;
pub use crate::kernel::Event;
pub use crate::kernel::Kernel;
pub use crate::kernel::Transport;
pub use crate::mark;
pub use crate::member;
pub use crate::note;
pub use crate::settings::Settings;
pub use crate::zone::Reach;
