//! The list of live and leaving VMs, which lags, and the notices, which come at once.

use core::fmt::Debug;

use bergamotshift_core::vm::Listing;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Future;

/// A notice that a VM is going to be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Notice {
    /// Counts the notices of the platform, from 1.
    pub sequence: u64,
    /// The VM as it stands, leaving.
    pub vm: Listing,
}

/// The platform's view of its VMs.
pub trait Vms: Debug {
    /// Lists the VMs; the list may lag behind the truth.
    ///
    /// # Errors
    ///
    /// Returns an error when the list could not be read.
    fn list(&self) -> Future<'_, Result<Vec<Listing>, Error>>;

    /// Returns the notices whose sequence number is above `since`, in order.
    ///
    /// # Errors
    ///
    /// Returns an error when the notices could not be read.
    fn notices(&self, since: u64) -> Future<'_, Result<Vec<Notice>, Error>>;
}
