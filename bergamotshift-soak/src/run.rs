//! One run: a fleet, callers, a plan, and what came of it.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Instant;

use thiserror::Error as ThisError;

use crate::caller;
use crate::caller::Caller;
use crate::caller::Door;
use crate::crash;
use crate::crowd;
use crate::cut;
use crate::demand;
use crate::fleet::Fleet;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::notice;
use crate::pause;
use crate::plan::Plan;
use crate::plan::Size;
use crate::process;
use crate::promise;
use crate::promise::Broken;
use crate::release;
use crate::site::Kind;
use crate::site::TEAMS;
use crate::site::Tenant;

/// How often the plan and the processes are looked at.
const LOOK: Duration = Duration::from_millis(10);

/// How soon after the end of all trouble every entry takes callers and serves them.
const RECOVERY: Duration = Duration::from_secs(12);

/// The number of the first caller that checks the recovery; those of the run have lower ones.
const CHECKER: u64 = 1_000_000;

/// The number of the first caller whose requests crash endpoints.
const CRASHER: u64 = 2_000_000;

/// The number of the first caller that asks model engines.
const ENGINE_CALLER: u64 = 3_000_000;

/// The number of the first caller that asks for schedules.
const SCHEDULE_CALLER: u64 = 4_000_000;

/// How many callers ask for schedules.
const SCHEDULE_CALLERS: u64 = 16;

/// How long versions are released after all other trouble has ended.
const QUIET: Duration = Duration::from_secs(15);

/// How many callers ask for them while versions are released.
const RELEASE_CALLERS: u64 = 120;

/// What a run is made of.
#[expect(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The program.
    pub program: PathBuf,
    /// Where settings and logs are kept.
    pub folder: PathBuf,
    /// What the plan is drawn from.
    pub seed: u64,
    /// How large the run is.
    pub size: Size,
    /// How many callers there are.
    pub callers: u64,
    /// How long after the request to stop callers still connect to an entry. A balancer that asks every second takes it
    /// out at the second answer in a row that says no; where too few others are left, it never does.
    pub connects: Duration,
    /// Whether endpoints say something of themselves in their answers.
    pub notices: bool,
    /// Whether the store is restored from copies.
    pub restores: bool,
    /// Whether entries are cut off from all endpoints at times.
    pub cuts: bool,
    /// Whether services at times tolerate few rejections, and have little room.
    pub tolerances: bool,
    /// Whether a caller sends a request that crashes endpoints.
    pub crashes: bool,
    /// Whether a caller sends requests of which no two are alike, with a part of their prompts that crashes endpoints.
    pub parts: bool,
    /// Whether endpoints of two versions serve side by side, and callers take up streams that broke off.
    pub versions: bool,
    /// Whether versions of a service are released one after the other, and callers take up streams that broke off.
    pub releases: bool,
    /// Whether entries are cut off from each other while versions are released.
    pub partitions: bool,
    /// Whether there are model engines whose speeds differ and change, and organisations that overload them.
    pub hard_load: bool,
    /// Whether endpoints pause, while operators change the limits of a route of streams.
    pub pauses: bool,
    /// Whether endpoints answer without framing, and their processes end within answers.
    pub unframed: bool,
    /// Whether endpoints fail requests that they have run, stop within heads of answers and close idle connections, and another
    /// writer leaves odd rows among their registrations.
    pub failures: bool,
    /// Whether crowds of clients hold unfinished requests open.
    pub crowds: bool,
    /// Lines that the entries' settings begin with.
    pub entry_settings: String,
    /// The least timeout of each route.
    pub min_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            program: PathBuf::from("target/release/bergamotshift"),
            folder: PathBuf::from("target/soak"),
            seed: 1,
            size: Size {
                entries: 4,
                endpoints: 2,
                span: Duration::from_secs(20),
            },
            callers: 24,
            connects: Duration::from_millis(2_500),
            notices: false,
            restores: false,
            cuts: false,
            tolerances: false,
            crashes: false,
            parts: false,
            versions: false,
            releases: false,
            partitions: false,
            hard_load: false,
            pauses: false,
            unframed: false,
            failures: false,
            crowds: false,
            entry_settings: String::new(),
            min_timeout: Duration::ZERO,
        }
    }
}

/// Why a run cannot be made.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// A folder or a port is not to be had.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A daemon does not run.
    #[error(transparent)]
    Process(#[from] process::Error),
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Callers' attempts.
    pub exchanges: usize,
    /// Those that got a whole answer of an endpoint.
    pub served: usize,
    /// Requests that reached endpoints.
    pub arrivals: usize,
    /// Steps of the plan.
    pub steps: usize,
    /// Usage reports.
    pub reports: usize,
    /// What became of the attempts at model engines.
    pub engines: demand::Summary,
    /// What became of streams that callers took up.
    pub taken_up: release::Summary,
    /// The promises that were broken.
    pub broken: Vec<Broken>,
}

/// Makes one run.
///
/// # Errors
///
/// Returns why it cannot be made; a broken promise is no error.
pub fn run(settings: &Settings) -> Result<Report, Error> {
    fs::create_dir_all(&settings.folder)?;
    let plan = plan(settings);
    let ledger = Arc::new(Ledger::default());
    let mut fleet = Fleet::start(settings, Arc::clone(&ledger))?;
    let mut late = recover(&mut fleet, &ledger, settings.seed, CHECKER)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers: Vec<_> = (0..settings.callers)
        .map(|number| {
            let caller = Caller::new(number, settings.seed, Arc::clone(&ledger))
                .taking_up(settings.versions || settings.releases);
            let (doors, stop) = (Arc::clone(&fleet.doors), Arc::clone(&stop));
            thread::spawn(move || caller.run(&doors, &stop))
        })
        .collect();
    if settings.hard_load {
        callers.extend(demand(&fleet, &ledger, settings.seed, &stop));
    }
    let calm = Arc::new(AtomicBool::new(false));
    let crowds = settings.crowds.then(|| {
        let (doors, ended) = (Arc::clone(&fleet.doors), Arc::clone(&calm));
        let seed = settings.seed;
        thread::spawn(move || crowd::press(seed, &doors, &ended))
    });
    let repeat = |number, kind| {
        let takes_up = settings.releases && kind == Kind::Schedule;
        let caller = Caller::new(number, settings.seed, Arc::clone(&ledger)).taking_up(takes_up);
        let (doors, ended) = (
            Arc::clone(&fleet.doors),
            Arc::clone(if takes_up { &stop } else { &calm }),
        );
        thread::spawn(move || caller.ask_repeatedly(kind, &doors, &ended))
    };
    let schedules = match (settings.pauses, settings.releases) {
        (_, true) => RELEASE_CALLERS,
        (true, false) => SCHEDULE_CALLERS,
        (false, false) => 0,
    };
    callers.extend((0..schedules).map(|number| repeat(SCHEDULE_CALLER + number, Kind::Schedule)));
    let crashers = [
        (settings.crashes, Kind::Crash, CRASHER),
        (settings.parts, Kind::Part, CRASHER + 1),
    ];
    let crashers = crashers.into_iter().filter(|(is_wanted, ..)| *is_wanted);
    let crashers: Vec<_> = crashers.map(|(_, kind, number)| repeat(number, kind)).collect();
    follow(&mut fleet, &plan, settings.size.span)?;
    calm.store(true, Ordering::Relaxed);
    for crasher in crashers.into_iter().chain(crowds) {
        // It has said so if it panicked.
        let _ = crasher.join();
    }
    fleet.heal()?;
    late.extend(recover(&mut fleet, &ledger, settings.seed, CHECKER + 1)?);
    if settings.releases {
        let size = Size {
            span: QUIET,
            ..settings.size
        };
        follow(&mut fleet, &Plan::quiet_releases(settings.seed, size), QUIET)?;
    }
    fleet.finish();
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        // A caller that panicked has said so.
        let _ = caller.join();
    }
    let book = ledger.book();
    let reports = fleet.store.state().reports.clone();
    let mut broken = promise::check(&ledger, &book, &reports);
    broken.extend(notice::check(&book));
    broken.extend(crash::check(&book));
    broken.extend(cut::check(&book));
    broken.extend(demand::check(&book));
    broken.extend(pause::check(&book));
    broken.extend(release::check(&book));
    broken.extend(late);
    let served = |outcome: &Outcome| *outcome == Outcome::Answered(200);
    Ok(Report {
        exchanges: book.exchanges.len(),
        served: book
            .exchanges
            .iter()
            .filter(|exchange| served(&exchange.outcome))
            .count(),
        arrivals: book.arrivals.len(),
        steps: plan.steps.len(),
        reports: reports.len(),
        engines: demand::Summary::of(&book),
        taken_up: release::Summary::of(&book),
        broken,
    })
}

/// Draws what happens in a run.
fn plan(settings: &Settings) -> Plan {
    let mut plan = Plan::draw(settings.seed, settings.size);
    if settings.notices {
        plan = plan.with_notices(settings.seed, settings.size);
    }
    if settings.restores {
        plan = plan.with_restores(settings.seed, settings.size);
    }
    if settings.cuts {
        plan = plan.with_cuts(settings.seed, settings.size);
    }
    if settings.tolerances {
        plan = plan.with_tolerances(settings.seed, settings.size);
    }
    if settings.hard_load {
        plan = plan.with_hard_load(settings.seed, settings.size);
    }
    if settings.pauses {
        plan = plan.with_pauses(settings.seed, settings.size, settings.hard_load);
    }
    if settings.unframed {
        plan = plan.with_ends(settings.seed, settings.size);
    }
    if settings.failures {
        plan = plan.with_failures(settings.seed, settings.size);
    }
    if settings.releases {
        plan = plan.with_releases(settings.seed, settings.size);
    }
    if settings.partitions {
        plan = plan.with_partitions(settings.seed, settings.size);
    }
    plan
}

/// Starts the callers of model engines: those of each organisation, and those of the one that overloads the engines.
fn demand(fleet: &Fleet, ledger: &Arc<Ledger>, seed: u64, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let usual = (0..TEAMS.len()).flat_map(|team| [Some(team); demand::CALLERS]);
    let teams = usual.chain([None; demand::CALLERS * (demand::TIMES - 1)]);
    let numbered = (ENGINE_CALLER..).zip(teams);
    let started = numbered.map(|(number, team)| {
        let caller = Caller::new(number, seed, Arc::clone(ledger));
        let (demand, doors, stop) = (Arc::clone(&fleet.demand), Arc::clone(&fleet.doors), Arc::clone(stop));
        thread::spawn(move || caller.demand(team, &demand, &doors, &stop))
    });
    started.collect()
}

/// Carries a plan out.
fn follow(fleet: &mut Fleet, plan: &Plan, span: Duration) -> Result<(), process::Error> {
    let start = Instant::now();
    let mut steps = plan.steps.iter().peekable();
    while start.elapsed() < span {
        while let Some((_, step)) = steps.next_if(|(at, _)| *at <= start.elapsed()) {
            fleet.carry_out(*step)?;
        }
        fleet.look()?;
        thread::sleep(LOOK);
    }
    Ok(())
}

/// Waits until every entry takes callers and serves them; returns what does not come about in time.
fn recover(fleet: &mut Fleet, ledger: &Arc<Ledger>, seed: u64, number: u64) -> Result<Vec<Broken>, process::Error> {
    let start = Instant::now();
    let mut checker = Caller::new(number, seed, Arc::clone(ledger));
    loop {
        fleet.look()?;
        let unready = unready(fleet);
        let unserved = if unready.is_empty() {
            unserved(&fleet.doors.open(), &mut checker)
        } else {
            Vec::new()
        };
        if unready.is_empty() && unserved.is_empty() {
            return Ok(Vec::new());
        }
        if start.elapsed() > RECOVERY {
            return Ok(vec![Broken {
                promise: "after trouble every entry serves again",
                what: format!("not ready: {unready:?}; not served: {unserved:?}"),
            }]);
        }
        thread::sleep(LOOK);
    }
}

fn unready(fleet: &Fleet) -> Vec<usize> {
    let ready = fleet.ready().into_iter().enumerate();
    ready
        .filter(|(_, address)| !address.is_some_and(caller::is_ready))
        .map(|(number, _)| number)
        .collect()
}

/// Asks every entry for one answer of each kind; returns what was not served.
fn unserved(doors: &[Door], checker: &mut Caller) -> Vec<(usize, Kind, Outcome)> {
    let mut failed = Vec::new();
    for door in doors {
        for kind in Kind::ALL {
            let outcome = checker.ask_at(*door, kind, Tenant::Free);
            if outcome != Outcome::Answered(200) {
                failed.push((door.entry, kind, outcome));
            }
        }
    }
    failed
}
