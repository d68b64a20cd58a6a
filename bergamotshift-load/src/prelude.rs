//! The types that most users need.

pub use crate::Error;
pub use crate::Plan;
pub use crate::Report;
pub use crate::arrival::Process;
pub use crate::fault::Schedule;
pub use crate::fault::Target;
pub use crate::ledger::Source;
pub use crate::plan::Endpoint;
pub use crate::plan::Share;
pub use crate::work::Kind;
