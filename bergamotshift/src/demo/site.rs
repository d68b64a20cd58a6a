//! The processes of the demo: stand-ins, and the entries before them.

use core::net::SocketAddr;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use slog::Logger;
use smol_str::SmolStr;
use thiserror::Error;

use crate::config::config::Config;
use crate::config::config::Limits;
use crate::config::config::Organisation;
use crate::config::digest::Digest;
use crate::core::name;
use crate::demo::authority::Authority;
use crate::demo::services::Services;
use crate::demo::worker;
use crate::demo::worker::Worker;
use crate::entry;
use crate::entry::Daemon;
use crate::entry::Handle;
use crate::entry::peers;

/// The key of the organisation that the demo adds when it knows the token of none.
const ADDED_KEY: &str = "demo-key";

/// How a demo is laid out.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The configuration that all entries run.
    pub config: Config,
    /// How many of the folder's zones are used, in name order.
    pub zones: usize,
    /// Entries in each zone.
    pub entries: usize,
    /// Threads of each entry.
    pub threads: usize,
    /// Where the entries' records go.
    pub logger: Logger,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            config: Config::default(),
            zones: 2,
            entries: 2,
            threads: 1,
            logger: Logger::root(slog::Discard, slog::o!()),
        }
    }
}

/// Why a demo doesn't start.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// The folder names no zone.
    #[error("the folder names no availability zone")]
    Empty,
    /// A stand-in can't listen.
    #[error("a stand-in can't listen on loopback: {0}")]
    Standin(#[from] io::Error),
    /// The certificates between the entries can't be issued.
    #[error("a certificate can't be issued: {0}")]
    Certificate(#[from] rcgen::Error),
    /// An entry can't start.
    #[error("an entry can't start: {0}")]
    Entry(#[from] entry::Error),
}

/// One entry of the demo.
#[derive(Debug)]
pub struct Member {
    /// Its name.
    pub name: name::Entry,
    /// Its zone.
    pub zone: name::Zone,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// The running entry; none once it has stopped.
    pub handle: Option<Handle>,
}

impl Member {
    /// Returns where other entries reach it.
    fn peers(&self) -> Option<SocketAddr> {
        let peers = self.handle.as_ref().and_then(Handle::peers);
        peers.map(peers::Sender::address)
    }
}

/// A whole deployment in one process.
#[derive(Debug)]
pub struct Site {
    platform: Services,
    workers: Vec<Worker>,
    members: Mutex<Vec<Member>>,
    zones: Vec<name::Zone>,
    key: SmolStr,
}

impl Site {
    /// Starts the stand-ins and the entries; returns once all of them listen.
    ///
    /// # Errors
    ///
    /// Returns what couldn't start.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let mut config = settings.config;
        let zones: Vec<name::Zone> = config.zones.keys().take(settings.zones.max(1)).cloned().collect();
        if zones.is_empty() {
            return Err(Error::Empty);
        }
        let key = known_key(&mut config);
        let platform = Services::start()?;
        let workers = worker::start_all(&config, &zones)?;
        for worker in &workers {
            platform.vms.put(worker.listing.clone());
        }
        let config = Arc::new(config);
        let addresses = platform.addresses();
        let authority = Authority::new()?;
        let mut members: Vec<Member> = Vec::new();
        for zone in &zones {
            for number in 1..=settings.entries.max(1) {
                let settings = entry::Settings {
                    name: name::Entry::new(format!("entry-{zone}-{number}")),
                    zone: zone.clone(),
                    threads: settings.threads,
                    config: Some(Arc::clone(&config)),
                    platform: addresses,
                    peers: Some(peers::Settings {
                        seeds: members.first().and_then(Member::peers).into_iter().collect(),
                        credentials: authority.issue()?,
                        ..peers::Settings::default()
                    }),
                    logger: settings.logger.clone(),
                    ..entry::Settings::default()
                };
                members.push(start_member(settings)?);
            }
        }
        Ok(Self {
            platform,
            workers,
            members: Mutex::new(members),
            zones,
            key,
        })
    }

    /// Returns the bearer key of an organisation that may use every service.
    pub fn key(&self) -> &SmolStr {
        &self.key
    }

    /// Returns the zones that the demo uses.
    pub fn zones(&self) -> &[name::Zone] {
        &self.zones
    }

    /// Returns the endpoints.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the platform's stand-ins.
    pub const fn platform(&self) -> &Services {
        &self.platform
    }

    /// Returns the entries.
    pub fn members(&self) -> MutexGuard<'_, Vec<Member>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns where callers reach the entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.members().iter().map(|member| member.callers).collect()
    }

    /// Returns where operators reach the entries.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.members().iter().map(|member| member.operators).collect()
    }
}

fn start_member(settings: entry::Settings) -> Result<Member, Error> {
    let name = settings.name.clone();
    let zone = settings.zone.clone();
    let handle = Daemon::start(settings)?;
    Ok(Member {
        name,
        zone,
        callers: handle.callers(),
        operators: handle.operators(),
        handle: Some(handle),
    })
}

/// Finds the key of an organisation that may use every service, or adds such an organisation.
///
/// The folder holds digests alone; of the examples' organisations the tokens are known by a rule.
fn known_key(config: &mut Config) -> SmolStr {
    let open = |organisation: &&Organisation| organisation.services.is_empty() && organisation.zones.is_empty();
    let tokens = config
        .organisations
        .values()
        .filter(open)
        .map(|organisation| format!("demo-{}", organisation.name));
    let known = tokens
        .map(SmolStr::new)
        .find(|token| config.organisation_by_token(token).is_some());
    if let Some(token) = known {
        return token;
    }
    let added = Organisation {
        name: name::Organisation::new_static("demo"),
        weight: 1,
        keys: vec![Digest::of(ADDED_KEY)],
        zones: Vec::new(),
        services: Vec::new(),
        limits: Limits::default(),
    };
    config.organisations.insert(added.name.clone(), added);
    SmolStr::new_static(ADDED_KEY)
}
