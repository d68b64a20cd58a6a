//! Handles callers' requests: matches each one to a route, an organisation and an endpoint, and returns the response.

mod accept;
mod active;
mod attempt;
mod body;
mod callers;
mod charge;
mod choose;
mod connect;
mod cut;
mod delivery;
mod forwarder;
mod job;
mod keeper;
mod loss;
mod notice;
mod origin;
mod pace;
mod record;
mod refusal;
mod replace;
mod replacement;
mod send;
mod silence;
mod speed;
mod stop;
mod stream;
mod suspect;
mod unframed;
mod whole;
mod witness;

pub(crate) use self::active::Active;
pub use self::cut::flush_and_terminate;
pub use self::forwarder::Forwarder;
pub use self::refusal::Reason;
pub use self::refusal::Refusal;
