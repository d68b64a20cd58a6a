//! The endpoints of the demo: stand-ins for the workers that the folder asks for.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;

use smol_str::SmolStr;

use crate::config::config::Config;
use crate::config::config::Kind;
use crate::config::config::Service;
use crate::core::name;
use crate::core::vm::Incarnation;
use crate::core::vm::Listing;
use crate::core::vm::Market;
use crate::core::vm::Role;
use crate::core::vm::State;
use crate::standin::engine;
use crate::standin::fault::Fault;
use crate::standin::plain;

/// Requests in a full batch of a demo engine.
const SLOTS: u32 = 64;

/// Time between two tokens of a demo engine.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// The stand-in of one endpoint.
#[derive(Debug)]
pub enum Server {
    /// A model engine.
    Engine(engine::Server),
    /// A plain service.
    Plain(plain::Server),
}

impl Server {
    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(server) => server.address(),
            Self::Plain(server) => server.address(),
        }
    }

    /// Ends it at once, with its open connections.
    pub fn kill(&self) {
        match self {
            Self::Engine(server) => server.kill(),
            Self::Plain(server) => server.kill(),
        }
    }

    /// Lets it stand still.
    pub fn pause(&self) {
        match self {
            Self::Engine(server) => server.pause(),
            Self::Plain(server) => server.pause(),
        }
    }

    /// Lets it go on.
    pub fn resume(&self) {
        match self {
            Self::Engine(server) => server.resume(),
            Self::Plain(server) => server.resume(),
        }
    }

    /// Shows a fault.
    pub fn fault(&self, fault: Fault) {
        match self {
            Self::Engine(server) => server.fault(fault),
            Self::Plain(server) => server.fault(fault),
        }
    }
}

/// One endpoint of the demo.
#[derive(Debug)]
pub struct Worker {
    /// What the platform lists of it.
    pub listing: Listing,
    /// The service it belongs to.
    pub service: name::Service,
    /// Its stand-in.
    pub server: Server,
}

/// Starts the workers of all services, spread over the zones that each service may stand in.
///
/// # Errors
///
/// Returns why a stand-in can't listen.
pub fn start_all(config: &Config, zones: &[name::Zone]) -> io::Result<Vec<Worker>> {
    let mut workers = Vec::new();
    for service in config.services.values() {
        let allowed: Vec<&name::Zone> = zones.iter().filter(|zone| may_stand_in(service, zone)).collect();
        // A service whose rules allow none of the demo's zones gets no workers here.
        for (number, zone) in (1..=service.workers).zip(allowed.iter().cycle()) {
            workers.push(start_worker(service, zone, number)?);
        }
    }
    Ok(workers)
}

fn may_stand_in(service: &Service, zone: &name::Zone) -> bool {
    service.zones.is_empty() || service.zones.contains(zone)
}

fn start_worker(service: &Service, zone: &name::Zone, number: u32) -> io::Result<Worker> {
    let vm = SmolStr::new(format!("{}-{number}", service.name));
    let server = match service.kind {
        Kind::Model => Server::Engine(engine::Server::start(engine::Settings {
            name: vm.clone(),
            service: SmolStr::new(&service.name),
            zone: SmolStr::new(zone),
            models: service.models.iter().map(SmolStr::new).collect(),
            slots: SLOTS,
            token_interval: TOKEN_INTERVAL,
            ..engine::Settings::default()
        })?),
        Kind::Plain => Server::Plain(plain::Server::start(plain::Settings {
            name: vm.clone(),
            service: SmolStr::new(&service.name),
            zone: SmolStr::new(zone),
            ..plain::Settings::default()
        })?),
    };
    let classes = &service.classes;
    let class = classes.get(number as usize % classes.len().max(1)).cloned();
    let listing = Listing {
        name: name::Vm::new(&vm),
        incarnation: Incarnation::new(1),
        address: server.address(),
        zone: zone.clone(),
        class: class.unwrap_or_default(),
        market: Market::Reclaimable,
        role: Role::Endpoint(service.name.clone()),
        state: State::Live,
    };
    Ok(Worker {
        listing,
        service: service.name.clone(),
        server,
    })
}
