//! The cloud API, which starts and stops VMs.

use core::fmt::Debug;

use bergamotshift_core::name;
use bergamotshift_core::vm::Market;
use bergamotshift_core::vm::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Future;

/// A VM to start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Spec {
    /// The name, which makes a repeated order idempotent.
    pub name: name::Vm,
    /// The availability zone.
    pub zone: name::Zone,
    /// The machine class.
    pub class: name::Class,
    /// The market to buy it on.
    pub market: Market,
    /// What it is for.
    pub role: Role,
}

/// Starts and stops VMs.
pub trait Cloud: Debug {
    /// Orders a VM; it shows in the VM list once it runs. Ordering a name that already starts or runs is no second VM.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoCapacity`] when there is no room for such a VM in that zone.
    fn start(&self, spec: Spec) -> Future<'_, Result<(), Error>>;

    /// Stops a VM; one that does not exist counts as stopped.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the VM may have been stopped.
    fn stop(&self, vm: name::Vm) -> Future<'_, Result<(), Error>>;
}
