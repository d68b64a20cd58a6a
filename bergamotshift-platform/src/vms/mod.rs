//! The list of live and leaving VMs, which may lag, and reclaim notices, which do not.

use core::fmt::Debug;

use bergamotshift_core::vm::Listing;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Future;

/// Notice that a VM is about to be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Notice {
    /// Sequence number of the notice, counted from 1.
    pub sequence: u64,
    /// Listing of the VM, in its leaving state.
    pub vm: Listing,
}

/// VM list and reclaim notices of the platform.
pub trait Vms: Debug {
    /// Lists the VMs; the list may lag behind their actual state.
    ///
    /// # Errors
    ///
    /// Returns an error if the list could not be read.
    fn list(&self) -> Future<'_, Result<Vec<Listing>, Error>>;

    /// Returns the notices with a sequence number above `since`, in ascending order.
    ///
    /// # Errors
    ///
    /// Returns an error if the notices could not be read.
    fn notices(&self, since: u64) -> Future<'_, Result<Vec<Notice>, Error>>;
}
