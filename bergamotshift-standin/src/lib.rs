//! Small stand-ins for the platform and for endpoints, over HTTP on loopback, with faults on order.
//!
//! Each stand-in listens on an ephemeral port of the loopback address and stops when its handle is dropped. All of
//! them share a few threads, so that one process holds dozens. A [`fault::Fault`] is ordered through the handle or by
//! `POST /_fault`; `GET /_count` tells how many requests of each kind came in.
//!
//! ```
//! use bergamotshift_standin::plain;
//!
//! let server = plain::Server::start(plain::Settings { name: "staff-1".into(), ..Default::default() })?;
//! assert!(server.address().ip().is_loopback());
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod cloud;
pub mod engine;
pub mod fault;
mod host;
pub mod ledger;
pub mod objects;
pub mod plain;
pub mod port;
pub mod prelude;
pub mod silent;
pub mod table;
pub mod vms;
pub mod weights;

pub use fault::Fault;
