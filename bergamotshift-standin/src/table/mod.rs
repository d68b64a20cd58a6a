//! The transactional table service: a subset of the DynamoDB JSON protocol.
//!
//! Items have the attributes `pk`, `sk`, `v` (a number) and `b` (bytes). `TransactWriteItems` takes `Put`, `Update`,
//! `Delete` and `ConditionCheck` with the conditions `attribute_not_exists(pk)` and `v = :v`, and the update
//! `SET b = :b ADD v :one`; a repeated `ClientRequestToken` within 10 minutes takes no second effect. `GetItem`,
//! `BatchGetItem` and `Query` (by `pk`, in the order of `sk`) read consistently.

mod bucket;
mod failure;
mod operation;
mod place;
mod store;
mod wire;

use std::io;
use std::sync::Arc;

use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;

use crate::host;
use crate::host::Host;
use crate::host::Site;
use place::Place;

/// Settings of the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Rows written a second, beyond which writes are throttled; `None` means no limit.
    pub writes_per_second: Option<u32>,
    /// Rows read a second, beyond which reads are throttled; `None` means no limit.
    pub reads_per_second: Option<u32>,
    /// The most rows of one `BatchGetItem` that are answered; the rest comes back as unprocessed. 0 means all.
    pub batch_rows: usize,
}

/// A running table service; dropping it stops it and forgets its rows.
///
/// [`Self::counts`] counts calls by operation, and rows under `rows written` and `rows read`.
#[derive(Debug)]
pub struct Server {
    host: Host,
    place: Arc<Place>,
}

host::handle!(Server);

impl Server {
    /// Starts the service on an ephemeral loopback port.
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

    /// Returns all rows as they truly are, in the order of their keys.
    pub fn rows(&self) -> Vec<(Key, Row)> {
        self.place.rows()
    }
}
