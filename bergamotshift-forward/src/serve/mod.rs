//! Serves callers: one request goes from its head to a route, an organisation, an endpoint and back.

mod active;
mod attempt;
mod callers;
mod charge;
mod choose;
mod cut;
mod forwarder;
mod hear;
mod job;
mod keeper;
mod pace;
mod refusal;
mod stream;
mod whole;

pub use self::cut::flush_and_terminate;
pub use self::forwarder::Forwarder;
pub use self::refusal::Reason;
pub use self::refusal::Refusal;
