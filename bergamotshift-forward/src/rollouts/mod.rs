//! What requests tell of two versions of a service while an order to change it stands.

mod collector;
mod observer;

pub use self::collector::Collector;
pub use self::observer::Observer;
