//! Evidence from requests about two versions of a service during a rollout.

mod collector;
mod observer;

pub use self::collector::Collector;
pub use self::observer::Observer;
