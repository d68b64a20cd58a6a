//! Cloud API, which starts and stops VMs.

use core::fmt::Debug;

use bergamotshift_core::name;
use bergamotshift_core::vm::Market;
use bergamotshift_core::vm::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Future;

/// Specification of a VM to start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Spec {
    /// Name of the VM, which makes starting it idempotent.
    pub name: name::Vm,
    /// Availability zone of the VM.
    pub zone: name::Zone,
    /// Machine class of the VM.
    pub class: name::Class,
    /// Market on which to buy the VM.
    pub market: Market,
    /// Role of the VM.
    pub role: Role,
}

/// API that starts and stops VMs.
pub trait Cloud: Debug {
    /// Orders a VM, which appears in the VM list once it runs.
    ///
    /// Repeating the order of a VM that is starting or running does not start another one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoCapacity`] if the zone has no capacity for the VM.
    fn start(&self, spec: Spec) -> Future<'_, Result<(), Error>>;

    /// Stops a VM; succeeds if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the VM may have been stopped.
    fn stop(&self, vm: name::Vm) -> Future<'_, Result<(), Error>>;
}
