//! Re-exports of the types that most callers need.

pub use crate::demand;
pub use crate::demand::Demand;
pub use crate::duty;
pub use crate::market::Offer;
pub use crate::market::Phase;
pub use crate::market::Pool;
pub use crate::market::Vm;
pub use crate::placement;
pub use crate::policy;
pub use crate::policy::Action;
pub use crate::policy::Event;
pub use crate::policy::Policy;
pub use crate::policy::Situation;
pub use crate::steal;
