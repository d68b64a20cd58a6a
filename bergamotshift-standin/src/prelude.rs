//! The types that most users of stand-ins need.

pub use crate::cloud;
pub use crate::engine;
pub use crate::fault::Fault;
pub use crate::ledger::Run;
pub use crate::objects;
pub use crate::plain;
pub use crate::table;
pub use crate::vms;
pub use crate::weights;
