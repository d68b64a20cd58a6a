//! The weight store, which gives leave to load models at a limited rate.
//!
//! `POST /tickets` with `{"model", "version"}` answers `{"url", "bytes", "estimate_ms"}`, or 429 with `Retry-After`.

mod place;

use core::time::Duration;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::host;
use crate::host::Host;
use crate::host::Site;
use place::Place;

/// Settings of the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Sizes in bytes by model; other models are unknown.
    pub models: BTreeMap<SmolStr, u64>,
    /// Loads that may start at once.
    pub burst: u32,
    /// How long until one more load may start.
    pub refill: Duration,
    /// Bytes that one load gets a second.
    pub bytes_per_second: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            models: BTreeMap::new(),
            burst: 4,
            refill: Duration::from_secs(10),
            bytes_per_second: 1 << 30,
        }
    }
}

/// A running weight store; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    host: Host,
}

host::handle!(Server);

impl Server {
    /// Starts the store on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket calls.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let site: Arc<dyn Site> = Arc::new(Place::new(settings));
        let host = Host::start(site, || {})?;
        Ok(Self { host })
    }
}
