//! The types that most users of stand-ins need.

pub use crate::engine;
pub use crate::fault::Fault;
pub use crate::ledger::Run;
pub use crate::plain;
pub use crate::vms;
