//! The object store: a subset of the S3 protocol, path-style.
//!
//! `PUT`, `GET`, `HEAD` and `DELETE` of `/bucket/key`, with `ETag`, `If-None-Match: *` and `If-Match`, and
//! `GET /bucket?list-type=2` with `prefix`, `start-after` and `max-keys`. Every bucket exists.

mod place;

use std::io;
use std::sync::Arc;

use crate::host;
use crate::host::Host;
use crate::host::Site;
use place::Place;

/// Settings of the object store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// The largest object taken, in bytes; 0 means any size.
    pub max_bytes: usize,
}

/// A running object store; dropping it stops it and forgets its objects.
#[derive(Debug)]
pub struct Server {
    host: Host,
    place: Arc<Place>,
}

host::handle!(Server);

impl Server {
    /// Starts the store on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket calls.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let place = Arc::new(Place::new(settings));
        let site: Arc<dyn Site> = Arc::<Place>::clone(&place);
        let host = Host::start(site, || {})?;
        Ok(Self { host, place })
    }

    /// Returns the keys of all objects, with their buckets, in order.
    pub fn keys(&self) -> Vec<String> {
        self.place.keys()
    }
}
