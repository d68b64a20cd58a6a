//! The operators' document: one version of everything that decides how requests are handled.

mod difference;
mod organisation;
mod route;
mod service;

use serde::Deserialize;
use serde::Serialize;

pub use self::difference::Difference;
pub use self::difference::Mismatch;
pub use self::organisation::Limit;
pub use self::organisation::Organisation;
pub use self::organisation::Unit;
pub use self::route::Kind;
pub use self::route::Route;
pub use self::route::Split;
pub use self::service::Engine;
pub use self::service::Scale;
pub use self::service::Service;

/// One whole version of the operators' document.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// Grows with each version, in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The organisations; with none, callers need no key.
    pub organisations: Vec<Organisation>,
    /// Bounds on what a caller may send.
    pub bounds: Bounds,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bounds {
    /// The largest body, in bytes.
    pub body: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { body: 4 << 20 }
    }
}
