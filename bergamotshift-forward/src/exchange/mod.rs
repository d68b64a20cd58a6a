//! Exchanges with endpoints and other entries over HTTP/1.1.
//!
//! The connections are implemented here because the consequences of a failure depend on what happened on the wire:
//! whether a byte of the request was sent, whether the response was reset or ended, and whether bytes follow a complete
//! response.

mod body;
mod call;
mod connection;
mod event;
mod failure;
mod head;
mod health;
mod pool;

pub use self::body::Framing;
pub use self::call::call;
pub use self::call::call_pooled;
pub use self::call::download;
pub use self::connection::Connection;
pub use self::connection::Liveness;
pub use self::connection::limit_unsent;
pub use self::event::Events;
pub use self::failure::Failure;
pub use self::head::Head;
pub use self::head::encode;
pub use self::head::encode_head;
pub use self::health::check_health;
pub use self::pool::Pool;
