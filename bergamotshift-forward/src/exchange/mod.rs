//! One request's exchange with one endpoint, over HTTP/1.1.
//!
//! The connections are this crate's own, since what may be concluded from a failure depends on what the wire showed:
//! whether a byte of the request left, whether an answer was reset or ended, and whether bytes follow a whole answer.

mod body;
mod call;
mod connection;
mod event;
mod failure;
mod head;
mod pool;

pub use self::body::Framing;
pub use self::call::call;
pub use self::call::call_pooled;
pub use self::call::download;
pub use self::connection::Connection;
pub use self::event::Events;
pub use self::failure::Failure;
pub use self::head::Head;
pub use self::head::encode;
pub use self::pool::Pool;
