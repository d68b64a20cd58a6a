//! Forwarding of callers' requests to endpoints, by host and path. The requests are not changed.
//!
//! A request passes these stages: [`serve`] reads it, finds its route ([`routes`]) and checks its organisation's limit
//! ([`limits`]); [`choice`] selects the endpoint that is expected to respond first; and [`exchange`] sends the request
//! there and returns the response; [`relay`] passes it through another entry if this one reaches no endpoint. All stages
//! read one immutable [`view::View`].
//!
//! A stream that broke off goes on at the version of the software that began it ([`origins`]).
//!
//! One control thread ([`control::Control`]) builds those views from the changes in the store ([`follow`]), the states
//! of other entries ([`peers`]) and the failures of requests. It also performs the duties that one entry has for the
//! whole fleet ([`duty`]), such as ordering endpoints ([`capacity`]).
//!
//! External systems are accessed through the traits of [`outside`].

pub mod capacity;
pub mod choice;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod document;
pub mod drain;
pub mod duty;
pub mod endpoint;
pub mod exchange;
pub mod follow;
pub mod limits;
pub mod observe;
pub mod origins;
pub mod outside;
pub mod peers;
pub mod prelude;
pub mod random;
pub mod relay;
pub mod rollouts;
pub mod routes;
pub mod serve;
pub mod settings;
pub mod view;
