//! The platform of the demo.

use std::io;

use crate::entry::settings::Platform;
use crate::standin::fault::Fault;
use crate::standin::objects;
use crate::standin::table;
use crate::standin::vms;

/// The platform's stand-ins.
#[derive(Debug)]
pub struct Services {
    /// The VM list.
    pub vms: vms::Server,
    /// The table service.
    pub table: table::Server,
    /// The object store.
    pub objects: objects::Server,
}

impl Services {
    /// Starts all of them.
    ///
    /// # Errors
    ///
    /// Returns why one can't listen.
    pub fn start() -> io::Result<Self> {
        Ok(Self {
            vms: vms::Server::start(vms::Settings::default())?,
            table: table::Server::start(table::Settings::default())?,
            objects: objects::Server::start(objects::Settings::default())?,
        })
    }

    /// Returns where they listen.
    pub fn addresses(&self) -> Platform {
        Platform {
            vms: Some(self.vms.address()),
            table: Some(self.table.address()),
            objects: Some(self.objects.address()),
            ..Platform::default()
        }
    }

    /// Lets all of them show a fault.
    pub fn fault(&self, fault: &Fault) {
        self.vms.fault(fault.clone());
        self.table.fault(fault.clone());
        self.objects.fault(fault.clone());
    }
}
