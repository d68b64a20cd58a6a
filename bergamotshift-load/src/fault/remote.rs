//! Faults over HTTP, on stand-ins that run elsewhere on this machine.

use core::net::SocketAddr;
use std::net::TcpStream;
use std::thread;

use bergamotshift_core::name;
use bergamotshift_standin::fault::Fault;

use super::Action;
use super::Error;
use super::Place;
use super::Target;
use super::Trouble;
use crate::caller::Http;
use crate::plan::Endpoint;

/// Orders faults by `POST /_fault` and departures by `POST /_drain`.
///
/// It knows endpoints and the platform's stand-ins. Entries have no such address: stopping one, and cutting zones
/// apart, takes a target that holds their processes.
#[derive(Debug)]
pub struct Remote {
    endpoints: Vec<Endpoint>,
    platform: Vec<SocketAddr>,
}

impl Remote {
    /// Makes a target of these endpoints and platform stand-ins.
    pub fn new(endpoints: Vec<Endpoint>, platform: Vec<SocketAddr>) -> Self {
        Self { endpoints, platform }
    }

    fn struck(&self, place: &Place) -> Result<Vec<&Endpoint>, Error> {
        let struck: Vec<_> = match place {
            Place::Endpoint(name) => self
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.name == *name)
                .collect(),
            Place::Zone(zone) => self
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.zone == *zone)
                .collect(),
            Place::Entry(name) => {
                return Err(Error::Unsupported(format!("entry {name} cannot be stopped over HTTP")));
            }
        };
        if struck.is_empty() {
            Err(Error::Unknown(format!("{place:?}")))
        } else {
            Ok(struck)
        }
    }

    fn order(&self, place: &Place, fault: &Fault) -> Result<(), Error> {
        strike(self.struck(place)?.iter().map(|endpoint| endpoint.address), fault)
    }

    fn platform(&self, fault: &Fault) -> Result<(), Error> {
        strike(self.platform.iter().copied(), fault)
    }
}

impl Target for Remote {
    fn begin(&self, action: &Action) -> Result<Vec<name::Vm>, Error> {
        match action {
            Action::Reclaim { place, .. } => {
                let struck = self.struck(place)?;
                post(struck.iter().map(|endpoint| endpoint.address), "/_drain", &())?;
                return Ok(struck.iter().map(|endpoint| endpoint.name.clone()).collect());
            }
            Action::Kill { place } => self.order(place, &Fault::Down)?,
            Action::Pause { place, .. } => self.order(place, &Fault::Pause)?,
            Action::Platform { trouble, amount, .. } => self.platform(&match trouble {
                Trouble::Down => Fault::Down,
                Trouble::Slow => Fault::Slow { ms: u64::from(*amount) },
                Trouble::LosingAnswers => Fault::LoseAnswerAfterWrite { count: *amount },
            })?,
            Action::Cut { .. } => {
                return Err(Error::Unsupported("zones cannot be cut apart over HTTP".to_owned()));
            }
            Action::Poison { marker, .. } => {
                let fault = Fault::CrashOn {
                    marker: marker.to_string(),
                };
                post(
                    self.endpoints.iter().map(|endpoint| endpoint.address),
                    "/_fault",
                    &fault,
                )?;
            }
        }
        Ok(Vec::new())
    }

    fn end(&self, action: &Action) -> Result<(), Error> {
        match action {
            Action::Reclaim { place, .. } => self.order(place, &Fault::Down),
            Action::Pause { place, .. } => self.order(place, &Fault::Resume),
            Action::Platform { trouble, .. } => self.platform(if *trouble == Trouble::Down {
                &Fault::Up
            } else {
                &Fault::Clear
            }),
            Action::Kill { .. } | Action::Cut { .. } | Action::Poison { .. } => Ok(()),
        }
    }
}

/// Orders a fault at each address.
fn strike(addresses: impl Iterator<Item = SocketAddr>, fault: &Fault) -> Result<(), Error> {
    let addresses: Vec<_> = addresses.collect();
    let ordered = post(addresses.iter().copied(), "/_fault", fault);
    if *fault != Fault::Down {
        return ordered;
    }
    // The fault cuts the connection that orders it, so no answer may come: refused connections are the proof.
    match addresses.iter().find(|address| TcpStream::connect(address).is_ok()) {
        Some(address) => Err(Error::Failed(format!("{address} still takes connections"))),
        None => Ok(()),
    }
}

/// Posts the same JSON to each address, and returns once all have answered.
fn post(
    addresses: impl Iterator<Item = SocketAddr>,
    path: &'static str,
    body: &impl serde::Serialize,
) -> Result<(), Error> {
    let body = serde_json::to_string(body).map_err(|cause| Error::Failed(cause.to_string()))?;
    let addresses: Vec<_> = addresses.collect();
    let sending = thread::spawn(move || {
        crate::run::block_on("load-fault", async move {
            let http = Http::new("").await;
            // One that does not answer must not spare the others.
            let mut ending = Ok(());
            for address in addresses {
                ending = ending.and(http.post(address, path, &body).await.map_err(Error::Failed));
            }
            ending
        })
    });
    sending
        .join()
        .unwrap_or_else(|_| Err(Error::Failed("the sender panicked".to_owned())))
}
