//! The store, the endpoints and the entries of a run, and what is done to them.

mod doors;
mod endpoints;
mod entries;
mod restores;

use core::time::Duration;
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use bergamotshift_metadata_standin::Copy;
use bergamotshift_metadata_standin::Disruption;
use bergamotshift_metadata_standin::Fault;
use bergamotshift_metadata_standin::Store;

pub use self::doors::Doors;
use self::endpoints::Later;
use self::entries::Entry;
use self::entries::UNKNOWN;
use self::entries::configuration;
use crate::demand::Demand;
use crate::endpoint::Endpoint;
use crate::endpoint::Habit;
use crate::endpoint::Notice;
use crate::engine::PACES;
use crate::ledger::Ledger;
use crate::ledger::Overload;
use crate::ledger::Place;
use crate::ledger::Version;
use crate::pause::PAUSED;
use crate::plan::Step;
use crate::process;
use crate::process::Process;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::run::Settings;
use crate::site;
use crate::site::ENGINES;
use crate::site::Limits;
use crate::site::SERVICES;
use crate::site::Tenant;

/// Time without a request after which endpoints that close idle connections do.
const IDLE: Duration = Duration::from_millis(300);

/// How long an endpoint that leaves goes on serving: as long as its requests last that came while entries learned of it.
const LEAVING: Duration = Duration::from_secs(3);
const LONG_LEAVING: Duration = Duration::from_secs(6);

/// All that runs.
#[derive(Debug)]
pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    ledger: Arc<Ledger>,
    /// Where callers come in.
    pub doors: Arc<Doors>,
    /// Which organisation overloads the model engines.
    pub demand: Arc<Demand>,
    /// The store and the cloud API.
    pub store: Store,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    /// Seed of the run.
    seed: u64,
    named: u64,
    version: u64,
    later: Vec<(Instant, Later)>,
    /// Copy from which the store is restored next.
    copy: Option<Copy>,
    /// How long after the request to stop callers still connect to an entry.
    connects: Duration,
    /// Whether endpoints of two versions serve side by side.
    has_versions: bool,
    /// The least timeout of each route.
    min_timeout: Duration,
    /// How long an endpoint that leaves goes on serving.
    leaving: Duration,
    /// Whether endpoints answer without framing.
    is_unframed: bool,
    /// Time without a request after which endpoints close connections; `None` for ever.
    idle: Option<Duration>,
    /// Whether there are model engines.
    has_engines: bool,
    /// The limits of the route of schedules, if there is one.
    limits: Option<Limits>,
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
        state.long_polling = true;
        state.discards_calls = true;
        drop(state);
        let mut fleet = Self {
            program: program.clone(),
            folder: folder.clone(),
            ledger,
            doors: Arc::default(),
            demand: Arc::default(),
            store,
            entries: Vec::new(),
            endpoints: Vec::new(),
            seed: settings.seed,
            named: 0,
            version: 0,
            later: Vec::new(),
            copy: None,
            connects: settings.connects,
            has_versions: settings.versions,
            min_timeout: settings.min_timeout,
            leaving: if settings.releases { LONG_LEAVING } else { LEAVING },
            is_unframed: settings.unframed,
            // Nothing tells an endpoint that closes idle connections from one that has started again under its name.
            idle: (settings.failures && !settings.unframed).then_some(IDLE),
            has_engines: settings.hard_load,
            limits: (settings.pauses || settings.releases).then(Limits::default),
        };
        fleet.document();
        if settings.failures {
            fleet.leave_odd_rows();
        }
        for number in 0..size.endpoints * SERVICES.len() {
            let endpoint = fleet.endpoint(number, SERVICES[number % SERVICES.len()], None, None)?;
            fleet.join(&endpoint);
            fleet.endpoints.push(endpoint);
        }
        for pace in PACES.into_iter().filter(|_| settings.hard_load) {
            let engine = fleet.endpoint(fleet.endpoints.len(), ENGINES, Some(pace), None)?;
            fleet.join(&engine);
            fleet.endpoints.push(engine);
        }
        for number in 0..size.entries {
            let link = Proxy::start(fleet.store.address)?;
            let approaches = if settings.partitions {
                Some([Proxy::start(UNKNOWN)?, Proxy::start(UNKNOWN)?])
            } else {
                None
            };
            let lines = settings.entry_settings.clone() + &configuration(number, link.address, approaches.as_ref());
            let settings = folder.join(format!("entry-{number}.toml"));
            fs::write(&settings, lines)?;
            fleet.entries.push(Entry {
                process: None,
                life: 0,
                link,
                settings,
                is_frozen: false,
                cut: None,
                approaches,
                separated: BTreeMap::new(),
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
                Later::Join(endpoint) => self.join(&endpoint),
                Later::Leave(endpoint) => self.retire(endpoint),
                Later::Crash(endpoint) => self.end(&endpoint),
                Later::Lapse(id) => self.store.deregister(&id),
                Later::Rewrite => self.rewrite(),
            }
        }
        for place in 0..self.endpoints.len() {
            if self.endpoints[place].has_crashed() {
                self.crash(place)?;
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
                self.store.truncate_history();
            }
            Step::Copy => self.copy = Some(self.store.state().copy()),
            Step::Restore(delay) => self.restore(delay),
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
            Step::Notice(place, notice) => self.say(place, notice),
            Step::Reach(place, mode) => {
                mark(&self.ledger, Place::Endpoint(place), mode);
                self.endpoints[place].proxy.set(mode);
            }
            Step::ResetReach(place) => {
                self.ledger.note(Place::Endpoint(place), "reset", false);
                self.endpoints[place].proxy.reset();
            }
            Step::CutOff(entry, cut) => self.cut_off(entry, cut),
            Step::Separate(entry, other, cut) => self.separate(entry, other, cut),
            Step::Approach(entry, mode) => self.approach(entry, mode),
            Step::Slow(place, is_slow) => {
                if let Some(engine) = self.endpoints[place].engine() {
                    engine.set_slow(is_slow);
                }
            }
            Step::Overload(team) => self.overload(team),
            Step::Move => self.document(),
            Step::Pause(place, span) => {
                self.ledger.during(Place::Endpoint(place), PAUSED, span);
                self.endpoints[place].pause(span);
            }
            Step::Restart(place) => {
                self.ledger.note(Place::Endpoint(place), "crash", false);
                self.endpoints[place].restart()?;
            }
            Step::Replace(place, version, handover) => self.hand_over(place, version, handover)?,
            Step::Limit(limits) => {
                self.limits = Some(limits);
                self.document();
            }
        }
        Ok(())
    }

    /// Ends all trouble and starts what does not run.
    ///
    /// # Errors
    ///
    /// Returns why something does not start.
    pub fn heal(&mut self) -> Result<(), process::Error> {
        self.store.state().disruption = None;
        for place in 0..self.endpoints.len() {
            self.carry_out(Step::Habit(place, Habit::Sound))?;
            if self.endpoints[place].says() == Notice::Leaves {
                self.leave(place)?;
            }
            self.carry_out(Step::Notice(place, Notice::Quiet))?;
            self.carry_out(Step::Reach(place, Mode::Pass))?;
            self.carry_out(Step::Slow(place, false))?;
        }
        self.overload(None);
        for entry in 0..self.entries.len() {
            self.carry_out(Step::CutOff(entry, None))?;
            self.carry_out(Step::Link(entry, Mode::Pass))?;
            self.carry_out(Step::Approach(entry, Mode::Pass))?;
            for other in 0..self.entries.len() {
                self.carry_out(Step::Separate(entry, other, None))?;
            }
            self.thaw(entry);
            if self.entries[entry].stopping.is_none() {
                self.run(entry)?;
            }
        }
        Ok(())
    }

    /// Returns the identifiers of the entries' processes that run.
    pub fn process_ids(&self) -> Vec<u32> {
        let processes = self.entries.iter().filter_map(|entry| entry.process.as_ref());
        processes.map(Process::id).collect()
    }

    /// Returns where each entry that runs says whether callers may come.
    pub fn ready(&self) -> Vec<Option<SocketAddr>> {
        let address = |entry: &Entry| entry.process.as_ref().map(|process| process.addresses.ready);
        self.entries.iter().map(address).collect()
    }

    /// Stops all entries in order and waits for their ends.
    pub fn finish(&mut self) {
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
    }

    fn spell(&mut self, fault: Fault, span: Duration, spared: u32) {
        self.ledger.during(Place::Store, "spell", span);
        self.store.state().disruption = Some(Disruption::new(fault, Instant::now() + span, spared));
    }

    /// Lets an organisation overload the model engines from now on, or none.
    fn overload(&mut self, team: Option<usize>) {
        self.demand.set_overload(team);
        let now = self.ledger.now();
        let mut book = self.ledger.book();
        for overload in book.overloads.iter_mut().filter(|overload| overload.until.is_none()) {
            overload.until = Some(now);
        }
        book.overloads.extend(team.map(|team| Overload {
            tenant: Tenant::Team(team),
            from: now,
            until: None,
        }));
    }

    /// Writes the next document: the moving route goes to the next service.
    fn document(&mut self) {
        self.version += 1;
        let service = SERVICES[(self.version % SERVICES.len() as u64) as usize];
        let sent = self.ledger.now();
        self.write_document(service);
        let acknowledged = self.ledger.now();
        self.ledger.book().versions.push(Version {
            service,
            sent,
            acknowledged,
        });
    }
}

impl Fleet {
    /// Writes the newest document, in which the moving route goes to `service`.
    fn write_document(&self, service: &'static str) {
        let mut document = site::document(self.version, service, self.has_engines, self.limits);
        for route in &mut document.routes {
            route.timeout = route.timeout.max(self.min_timeout);
        }
        self.store.put_document(&document);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.process = None;
            entry.link.close();
            entry.approaches.iter().flatten().for_each(Proxy::close);
        }
        for endpoint in &self.endpoints {
            endpoint.crash();
        }
        for (_, what) in self.later.drain(..) {
            if let Later::End(endpoint) | Later::Leave(endpoint) | Later::Crash(endpoint) = what {
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
