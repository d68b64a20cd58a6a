//! The entries of a fleet: how they are started, harmed and watched.

use core::time::Duration;
use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

use rustix::process::Signal;

use super::Fleet;
use crate::caller::Door;
use crate::cut::CUT_OFF;
use crate::ledger::Place;
use crate::process;
use crate::process::Process;
use crate::proxy::Cut;
use crate::proxy::Mode;
use crate::proxy::Proxy;

/// How long a stop may take.
const GRACE: Duration = Duration::from_secs(6);

/// How much longer than its grace a daemon may take to be gone, on a machine that has other work.
const GRACE_SLACK: Duration = Duration::from_millis(1_500);

/// The target of a proxy to an entry that does not run.
pub(super) const UNKNOWN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// What the soak notes of an entry that is cut off from others.
const SEPARATED: &str = "cut off from entries";

/// What the soak notes of an entry to which the bytes of others are held.
const UNAPPROACHABLE: &str = "not reached by entries";

/// An entry, which is started any number of times.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) process: Option<Process>,
    pub(super) life: u32,
    pub(super) link: Proxy,
    pub(super) settings: PathBuf,
    pub(super) is_frozen: bool,
    /// How it is cut off from all endpoints.
    pub(super) cut: Option<Cut>,
    /// Proxies to its address for the other entries, and to that for their tunnels.
    pub(super) approaches: Option<[Proxy; 2]>,
    /// Entries that it does not reach, and how it is cut off from them.
    pub(super) separated: BTreeMap<usize, Cut>,
    /// When it was asked to stop; a freeze puts it off.
    pub(super) stopping: Option<Instant>,
}

impl Entry {
    /// Sets where connections of the other entries go.
    fn set_targets(&self, peers: SocketAddr, relay: SocketAddr) {
        if let Some([to_peers, to_relay]) = &self.approaches {
            to_peers.set_target(peers);
            to_relay.set_target(relay);
        }
    }
}

impl Fleet {
    pub(super) fn kill(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        let Some(mut process) = entry.process.take() else {
            return;
        };
        self.ledger.begin(Place::Entry(number), "killed", false);
        process.kill();
        entry.set_targets(UNKNOWN, UNKNOWN);
        self.connect_again(process.id());
        let entry = &mut self.entries[number];
        entry.is_frozen = false;
        entry.stopping = None;
        self.doors.set(number, None);
    }

    pub(super) fn stop(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if entry.stopping.is_some() {
            return;
        }
        if let Some(process) = &entry.process {
            self.ledger.begin(Place::Entry(number), "stop", true);
            process.signal(Signal::TERM);
            entry.stopping = Some(Instant::now());
        }
    }

    pub(super) fn run(&mut self, number: usize) -> Result<(), process::Error> {
        if self.entries[number].process.is_some() {
            return Ok(());
        }
        let life = self.entries[number].life + 1;
        let log = File::create(self.folder.join(format!("entry-{number}-{life}.log")))?;
        let process = Process::start(&self.program, &self.entries[number].settings, log)?;
        self.ledger.end(Place::Entry(number), "killed");
        self.ledger.end(Place::Entry(number), "stop");
        self.ledger.note(Place::Entry(number), "start", false);
        let door = Door {
            entry: number,
            life,
            address: process.addresses.callers,
        };
        let entry = &mut self.entries[number];
        entry.set_targets(process.addresses.peers, process.addresses.relay);
        entry.process = Some(process);
        entry.life = life;
        entry.stopping = None;
        self.cut_off(number, self.entries[number].cut);
        for (other, cut) in self.entries[number].separated.clone() {
            self.separate(number, other, Some(cut));
        }
        self.doors.set(number, Some(door));
        Ok(())
    }

    /// Cuts an entry off from all endpoints, or connects it again.
    pub(super) fn cut_off(&mut self, number: usize, cut: Option<Cut>) {
        let entry = &mut self.entries[number];
        if cut.is_some() && entry.cut.is_none() {
            self.ledger.begin(Place::Entry(number), CUT_OFF, false);
        } else if cut.is_none() {
            self.ledger.end(Place::Entry(number), CUT_OFF);
        }
        entry.cut = cut;
        if let Some(process) = &entry.process {
            for endpoint in &self.endpoints {
                endpoint.proxy.set_cut(process.id(), cut);
            }
        }
    }

    /// Cuts an entry's connections to another one, or lets them pass again.
    pub(super) fn separate(&mut self, number: usize, other: usize, cut: Option<Cut>) {
        let entry = &mut self.entries[number];
        let was_separated = !entry.separated.is_empty();
        if let Some(cut) = cut {
            entry.separated.insert(other, cut);
        } else {
            entry.separated.remove(&other);
        }
        match (was_separated, entry.separated.is_empty()) {
            (false, false) => self.ledger.begin(Place::Entry(number), SEPARATED, false),
            (_, true) => self.ledger.end(Place::Entry(number), SEPARATED),
            (true, false) => {}
        }
        if let Some(process) = self.entries[number].process.as_ref().map(Process::id) {
            for approach in self.entries[other].approaches.iter().flatten() {
                approach.set_cut(process, cut);
            }
        }
    }

    /// Sets what becomes of the bytes of the other entries' connections to an entry.
    pub(super) fn approach(&self, number: usize, mode: Mode) {
        self.ledger.end(Place::Entry(number), UNAPPROACHABLE);
        if mode != Mode::Pass {
            self.ledger.begin(Place::Entry(number), UNAPPROACHABLE, false);
        }
        for approach in self.entries[number].approaches.iter().flatten() {
            approach.set(mode);
        }
    }

    pub(super) fn freeze(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if let Some(process) = entry.process.as_ref().filter(|_| !entry.is_frozen) {
            self.ledger.begin(Place::Entry(number), "frozen", false);
            process.signal(Signal::STOP);
            entry.is_frozen = true;
        }
    }

    pub(super) fn thaw(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if let Some(process) = entry.process.as_ref().filter(|_| entry.is_frozen) {
            process.signal(Signal::CONT);
            entry.is_frozen = false;
            entry.stopping = entry.stopping.map(|_| Instant::now());
        }
        self.ledger.end(Place::Entry(number), "frozen");
    }

    pub(super) fn reload(&mut self, number: usize) -> io::Result<()> {
        self.ledger.note(Place::Entry(number), "reload", true);
        let entry = &self.entries[number];
        let text = fs::read_to_string(&entry.settings)?;
        fs::write(&entry.settings, text + "\n# changed\n")?;
        if let Some(process) = &entry.process {
            process.signal(Signal::HUP);
        }
        Ok(())
    }

    /// Starts an entry again that has stopped as asked.
    pub(super) fn watch(&mut self, number: usize) -> Result<(), process::Error> {
        if self.ended(number) {
            self.run(number)?;
        }
        Ok(())
    }

    /// Returns whether an entry has ended, and notes what was wrong with that.
    pub(super) fn ended(&mut self, number: usize) -> bool {
        let entry = &mut self.entries[number];
        let Some(process) = &mut entry.process else {
            return false;
        };
        let (life, asked) = (entry.life, entry.stopping);
        if asked.is_some_and(|at| at.elapsed() > self.connects) {
            self.doors.set(number, None);
        }
        let fault = match process.ended() {
            None if !entry.is_frozen && asked.is_some_and(|at| at.elapsed() > GRACE + GRACE_SLACK) => {
                process.kill();
                Some("it was not gone at the end of its grace".to_owned())
            }
            None => return false,
            Some(status) if asked.is_none() => Some(format!("it ended by itself, {status}")),
            // The status tells whether the grace cut requests, which callers see as well.
            Some(_) => None,
        };
        if let Some(fault) = fault {
            self.ledger
                .book()
                .faults
                .push(format!("entry {number}, start {life}: {fault}"));
        }
        let process = process.id();
        entry.process = None;
        entry.set_targets(UNKNOWN, UNKNOWN);
        entry.stopping = None;
        self.connect_again(process);
        self.doors.set(number, None);
        true
    }

    /// Ends the cuts of a process that has ended, so that no proxy looks for its connections any more.
    fn connect_again(&self, process: u32) {
        let endpoints = self.endpoints.iter().map(|endpoint| &endpoint.proxy);
        let entries = self.entries.iter().flat_map(|entry| entry.approaches.iter().flatten());
        for proxy in endpoints.chain(entries) {
            proxy.set_cut(process, None);
        }
    }
}

/// Returns the settings of an entry.
pub(super) fn configuration(number: usize, store: SocketAddr, approaches: Option<&[Proxy; 2]>) -> String {
    let advertise = approaches.map(|[peers, relay]| {
        let (peers, relay) = (peers.address, relay.address);
        format!("[advertise]\npeers = \"{peers}\"\nrelay = \"{relay}\"\n")
    });
    let settings = format!(
        r#"name = "entry-{number}"
zone = "one"
outside = "metadata"
[listen]
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
peers = "127.0.0.1:0"
relay = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[store]
address = "{store}"
[cloud]
address = "{store}"
[stop]
grace_s = {grace}
[retry]
ratio = 0.2
slack = 30.0
[duty]
lease_ms = 1500
usage_window_s = 1.0
"#,
        grace = GRACE.as_secs_f64(),
    );
    settings + &advertise.unwrap_or_default()
}
