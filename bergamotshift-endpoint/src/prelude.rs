//! The types that most users of this crate need.

pub use crate::adapter::Adapter;
pub use crate::adapter::Kind;
pub use crate::answer::Answer;
pub use crate::answer::Failure;
pub use crate::call::Body;
pub use crate::call::Call;
pub use crate::call::Target;
pub use crate::client::Client;
