//! The store, the endpoints and the entries of a run, and what is done to them.

use core::time::Duration;
use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Instant;

use bergamotshift_metadata_standin::Fault;
use bergamotshift_metadata_standin::Spell;
use bergamotshift_metadata_standin::Store;
use rustix::process::Signal;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::caller::Door;
use crate::endpoint::Endpoint;
use crate::endpoint::Habit;
use crate::ledger::Leave;
use crate::ledger::Ledger;
use crate::ledger::Place;
use crate::ledger::Version;
use crate::plan::Step;
use crate::process;
use crate::process::Process;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::run::Settings;
use crate::site;
use crate::site::SERVICES;

/// How long a stop may take.
pub const GRACE: Duration = Duration::from_secs(6);

/// How much longer than its grace a daemon may take to be gone, on a machine that has other work.
const GRACE_SLACK: Duration = Duration::from_millis(1_500);

/// How long an endpoint that leaves goes on serving.
const LEAVING: Duration = Duration::from_secs(3);

/// How long a crashed endpoint stays registered.
const LAPSE: Duration = Duration::from_millis(1_200);

/// The doors that callers may use.
#[derive(Debug, Default)]
pub struct Doors(Mutex<Vec<Option<Door>>>);

impl Doors {
    /// Returns the doors of all entries that run.
    pub fn open(&self) -> Vec<Door> {
        let doors = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        doors.iter().flatten().copied().collect()
    }

    fn set(&self, entry: usize, door: Option<Door>) {
        let mut doors = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if doors.len() <= entry {
            doors.resize(entry + 1, None);
        }
        doors[entry] = door;
    }
}

#[derive(Debug)]
struct Entry {
    process: Option<Process>,
    life: u32,
    link: Proxy,
    settings: PathBuf,
    is_frozen: bool,
    /// When it was asked to stop; a freeze puts it off.
    stopping: Option<Instant>,
}

/// Something that is due later.
#[derive(Debug)]
enum Later {
    /// The endpoint ends.
    End(Endpoint),
    /// The endpoint's registration goes.
    Lapse(SmolStr),
}

/// All that runs.
#[derive(Debug)]
pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    ledger: Arc<Ledger>,
    /// Where callers come in.
    pub doors: Arc<Doors>,
    /// The store and the cloud API.
    pub store: Store,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    named: u64,
    version: u64,
    later: Vec<(Instant, Later)>,
    /// How long after the request to stop callers still connect to an entry.
    connects: Duration,
}

impl Fleet {
    /// Starts a store, endpoints and entries.
    ///
    /// # Errors
    ///
    /// Returns why something does not start.
    pub fn start(settings: &Settings, ledger: Arc<Ledger>) -> Result<Self, process::Error> {
        let Settings {
            program, folder, size, ..
        } = settings;
        let store = Store::start();
        let mut state = store.state();
        state.waits = true;
        state.forgets = true;
        drop(state);
        let mut fleet = Self {
            program: program.clone(),
            folder: folder.clone(),
            ledger,
            doors: Arc::default(),
            store,
            entries: Vec::new(),
            endpoints: Vec::new(),
            named: 0,
            version: 0,
            later: Vec::new(),
            connects: settings.connects,
        };
        fleet.document();
        for number in 0..size.endpoints * SERVICES.len() {
            let endpoint = fleet.endpoint(SERVICES[number % SERVICES.len()])?;
            fleet.endpoints.push(endpoint);
        }
        for number in 0..size.entries {
            let link = Proxy::start(fleet.store.address)?;
            let settings = folder.join(format!("entry-{number}.toml"));
            fs::write(&settings, configuration(number, link.address))?;
            fleet.entries.push(Entry {
                process: None,
                life: 0,
                link,
                settings,
                is_frozen: false,
                stopping: None,
            });
            fleet.run(number)?;
        }
        Ok(fleet)
    }

    /// Does what the passing of time asks for: what was put off, and a look at the processes.
    ///
    /// # Errors
    ///
    /// Returns why something does not start again.
    pub fn look(&mut self) -> Result<(), process::Error> {
        let now = Instant::now();
        let (due, later) = self.later.drain(..).partition(|(at, _)| *at <= now);
        self.later = later;
        for (_, what) in due {
            match what {
                Later::End(endpoint) => endpoint.crash(),
                Later::Lapse(id) => self.store.deregister(&id),
            }
        }
        for number in 0..self.entries.len() {
            self.watch(number)?;
        }
        Ok(())
    }

    /// Carries a step out.
    ///
    /// # Errors
    ///
    /// Returns why something does not start.
    pub fn carry_out(&mut self, step: Step) -> Result<(), process::Error> {
        match step {
            Step::Kill(entry) => self.kill(entry),
            Step::Stop(entry) => self.stop(entry),
            Step::Start(entry) => self.run(entry)?,
            Step::Freeze(entry) => self.freeze(entry),
            Step::Thaw(entry) => self.thaw(entry),
            Step::Reload(entry) => self.reload(entry)?,
            Step::Link(entry, mode) => {
                mark(&self.ledger, Place::Entry(entry), mode);
                self.entries[entry].link.set(mode);
            }
            Step::ResetLink(entry) => {
                self.ledger.note(Place::Entry(entry), "reset of its link", false);
                self.entries[entry].link.reset();
            }
            Step::Spell(fault, span, spared) => self.spell(fault, span, spared),
            Step::Forget => {
                self.ledger.note(Place::Store, "history forgotten", false);
                self.store.forget();
            }
            Step::Crash(place) => self.crash(place)?,
            Step::Leave(place) => self.leave(place)?,
            Step::Habit(place, habit) => {
                if habit == Habit::Sound {
                    self.ledger.end(Place::Endpoint(place), "habit");
                } else {
                    self.ledger.begin(Place::Endpoint(place), "habit", false);
                }
                self.endpoints[place].set(habit);
            }
            Step::Reach(place, mode) => {
                mark(&self.ledger, Place::Endpoint(place), mode);
                self.endpoints[place].proxy.set(mode);
            }
            Step::ResetReach(place) => {
                self.ledger.note(Place::Endpoint(place), "reset", false);
                self.endpoints[place].proxy.reset();
            }
            Step::Move => self.document(),
        }
        Ok(())
    }

    /// Ends all trouble and starts what does not run.
    ///
    /// # Errors
    ///
    /// Returns why something does not start.
    pub fn heal(&mut self) -> Result<(), process::Error> {
        self.store.state().spell = None;
        for place in 0..self.endpoints.len() {
            self.carry_out(Step::Habit(place, Habit::Sound))?;
            self.carry_out(Step::Reach(place, Mode::Pass))?;
        }
        for entry in 0..self.entries.len() {
            self.carry_out(Step::Link(entry, Mode::Pass))?;
            self.thaw(entry);
            if self.entries[entry].stopping.is_none() {
                self.run(entry)?;
            }
        }
        Ok(())
    }

    /// Returns where each entry that runs says whether callers may come.
    pub fn ready(&self) -> Vec<Option<SocketAddr>> {
        let address = |entry: &Entry| entry.process.as_ref().map(|process| process.addresses.ready);
        self.entries.iter().map(address).collect()
    }

    /// Stops all entries in order and waits for their ends.
    ///
    /// # Errors
    ///
    /// Returns why something that ended did not start again; none is meant to.
    pub fn finish(&mut self) -> Result<(), process::Error> {
        const LOOK: Duration = Duration::from_millis(20);
        for entry in 0..self.entries.len() {
            self.stop(entry);
        }
        while self.entries.iter().any(|entry| entry.process.is_some()) {
            thread::sleep(LOOK);
            for entry in 0..self.entries.len() {
                self.ended(entry);
            }
        }
        Ok(())
    }

    fn kill(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        let Some(mut process) = entry.process.take() else {
            return;
        };
        self.ledger.begin(Place::Entry(number), "killed", false);
        process.kill();
        entry.is_frozen = false;
        entry.stopping = None;
        self.doors.set(number, None);
    }

    fn stop(&mut self, number: usize) {
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

    fn run(&mut self, number: usize) -> Result<(), process::Error> {
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
        entry.process = Some(process);
        entry.life = life;
        entry.stopping = None;
        self.doors.set(number, Some(door));
        Ok(())
    }

    fn freeze(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if let Some(process) = entry.process.as_ref().filter(|_| !entry.is_frozen) {
            self.ledger.begin(Place::Entry(number), "frozen", false);
            process.signal(Signal::STOP);
            entry.is_frozen = true;
        }
    }

    fn thaw(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if let Some(process) = entry.process.as_ref().filter(|_| entry.is_frozen) {
            process.signal(Signal::CONT);
            entry.is_frozen = false;
            entry.stopping = entry.stopping.map(|_| Instant::now());
        }
        self.ledger.end(Place::Entry(number), "frozen");
    }

    fn reload(&mut self, number: usize) -> io::Result<()> {
        self.ledger.note(Place::Entry(number), "reload", true);
        let entry = &self.entries[number];
        let text = fs::read_to_string(&entry.settings)?;
        fs::write(&entry.settings, text + "\n# changed\n")?;
        if let Some(process) = &entry.process {
            process.signal(Signal::HUP);
        }
        Ok(())
    }

    fn spell(&mut self, fault: Fault, span: Duration, spared: u32) {
        self.ledger.begin(Place::Store, "spell", false);
        let until = self.ledger.now() + span;
        if let Some(last) = self.ledger.book().disruptions.last_mut() {
            last.until = Some(until);
        }
        self.store.state().spell = Some(Spell::new(fault, Instant::now() + span, spared));
    }

    /// Writes the next document: the moving route goes to the next service.
    fn document(&mut self) {
        self.version += 1;
        let service = SERVICES[(self.version % SERVICES.len() as u64) as usize];
        let sent = self.ledger.now();
        self.store.put_document(&site::document(self.version, service));
        let acknowledged = self.ledger.now();
        self.ledger.book().versions.push(Version {
            service,
            sent,
            acknowledged,
        });
    }

    fn endpoint(&mut self, service: &'static str) -> io::Result<Endpoint> {
        self.named += 1;
        let id = format_smolstr!("{service}-{}", self.named);
        let endpoint = Endpoint::start(id, service, Arc::clone(&self.ledger))?;
        self.store.register(&endpoint.registration("one", false));
        Ok(endpoint)
    }

    fn replace(&mut self, place: usize) -> io::Result<Endpoint> {
        let next = self.endpoint(SERVICES[place % SERVICES.len()])?;
        Ok(core::mem::replace(&mut self.endpoints[place], next))
    }

    fn crash(&mut self, place: usize) -> io::Result<()> {
        self.ledger.note(Place::Endpoint(place), "crash", false);
        let old = self.replace(place)?;
        old.crash();
        let lapse = Later::Lapse(old.id().clone());
        self.later.push((Instant::now() + LAPSE, lapse));
        Ok(())
    }

    fn leave(&mut self, place: usize) -> io::Result<()> {
        self.ledger.note(Place::Endpoint(place), "leave", true);
        let old = self.replace(place)?;
        self.store.register(&old.registration("one", true));
        let acknowledged = self.ledger.now();
        self.ledger.book().leaves.push(Leave {
            endpoint: old.id().clone(),
            acknowledged,
        });
        let now = Instant::now();
        self.later.push((now + LEAVING, Later::Lapse(old.id().clone())));
        self.later.push((now + LEAVING, Later::End(old)));
        Ok(())
    }

    /// Starts an entry again that has stopped as asked.
    fn watch(&mut self, number: usize) -> Result<(), process::Error> {
        if self.ended(number) {
            self.run(number)?;
        }
        Ok(())
    }

    /// Returns whether an entry has ended, and notes what was wrong with that.
    fn ended(&mut self, number: usize) -> bool {
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
        entry.process = None;
        entry.stopping = None;
        self.doors.set(number, None);
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.process = None;
            entry.link.close();
        }
        for endpoint in &self.endpoints {
            endpoint.crash();
        }
        for (_, what) in self.later.drain(..) {
            if let Later::End(endpoint) = what {
                endpoint.crash();
            }
        }
        self.store.stop();
    }
}

fn mark(ledger: &Ledger, place: Place, mode: Mode) {
    ledger.end(place, "link");
    if mode != Mode::Pass {
        ledger.begin(place, "link", false);
    }
}

/// Returns the settings of an entry.
fn configuration(number: usize, store: SocketAddr) -> String {
    format!(
        r#"name = "entry-{number}"
zone = "one"
outside = "metadata"
[listen]
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
peers = "127.0.0.1:0"
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
    )
}
