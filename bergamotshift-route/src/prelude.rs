//! Re-exports of the types that most callers need.

pub use crate::choice::Choice;
pub use crate::choice::Refusal;
pub use crate::estimate::Estimate;
pub use crate::estimate::Speed;
pub use crate::policy;
pub use crate::policy::Policy;
pub use crate::registry::Registry;
pub use crate::request::Request;
pub use crate::set::Set;
pub use crate::view::Endpoint;
pub use crate::view::View;
