//! The cloud API, which starts and stops VMs and sometimes has no room for them.
//!
//! `POST /vms` takes a [`Spec`] and answers 202, or 503 with the code `no-capacity`; `DELETE /vms/NAME` answers 204.

mod place;

use core::fmt;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use bergamotshift_core::name;
use bergamotshift_core::vm::Market;
use bergamotshift_core::vm::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::host;
use crate::host::Host;
use crate::host::Site;
use place::Place;

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

/// What happens to a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It runs, some time after its order.
    Started(Spec),
    /// It was stopped on order.
    Stopped(Spec),
}

/// Settings of the cloud API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// How long a VM takes to start.
    pub start_delay: Duration,
}

/// A running cloud API; dropping it stops it.
pub struct Server {
    host: Host,
    place: Arc<Place>,
}

host::handle!(Server);

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Starts the API on an ephemeral loopback port.
    ///
    /// `on_event` is called on a thread of the stand-ins when a VM runs or was stopped; there, the VM's own stand-in
    /// is started and the VM list told.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket calls.
    pub fn start(settings: Settings, on_event: impl Fn(Event) + Send + Sync + 'static) -> io::Result<Self> {
        let place = Arc::new(Place::new(settings, Box::new(on_event)));
        let site: Arc<dyn Site> = Arc::<Place>::clone(&place);
        let host = Host::start(site, || {})?;
        Ok(Self { host, place })
    }

    /// Sets how many VMs of a class and market a zone has room for; by default there is room for any number.
    pub fn set_capacity(&self, zone: name::Zone, class: name::Class, market: Market, vms: usize) {
        self.place.set_capacity(zone, class, market, vms);
    }

    /// Forgets a VM that was reclaimed, so that its room is free; the event `Stopped` is not given.
    pub fn reclaim(&self, vm: &name::Vm) {
        self.place.remove(vm);
    }

    /// Returns the VMs that run or start.
    pub fn vms(&self) -> Vec<Spec> {
        self.place.vms()
    }
}
