//! Stand-ins of the platform, its workers and its clients, and a runner of the project's daemon as a process.

#![forbid(unsafe_code)]

pub mod daemon;
pub mod http;
pub mod process;
pub mod record;
pub mod store;
pub mod worker;
