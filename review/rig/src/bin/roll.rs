//! Rolling restart of the daemons while clients send requests on kept channels.
//!
//! Each daemon in turn gets SIGTERM while it answers requests, and is started again. The run fails if a request that a
//! client sent whole was passed on to a worker, and its channel ended without an answer although neither the worker nor
//! a time limit ended it.

#![forbid(unsafe_code)]

use std::env;
use std::fs;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_rig::daemon::Daemon;
use review_rig::daemon::Place;
use review_rig::http;
use review_rig::record::Record;
use review_rig::store::Store;
use review_rig::worker::Runs;
use review_rig::worker::Worker;
use serde_json::json;

const DAEMONS: usize = 8;
const WORKERS: usize = 4;
/// Time between two stops.
const GAP: Duration = Duration::from_secs(1);
const SERVICE: &str = "app";
const HOST: &str = "mapa.example";
/// Interval of the workers' writes.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time limit that clients state.
const TIME_LIMIT: Duration = Duration::from_secs(3);
/// Interval of the balancer's checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time that `SIGTERM` leaves a process.
const GRACE: Duration = Duration::from_secs(8);

/// Interval at which the clients ask, all at about the same moment.
const WAVE: Duration = Duration::from_millis(500);

/// Figures of a run.
struct Figures {
    clients: usize,
    /// Span over which the requests of a wave are spread, in microseconds.
    spread_us: u64,
    work_ms: u64,
    rounds: usize,
}

/// Daemon in the view of the balancer.
#[derive(Clone, Copy, Debug)]
struct Slot {
    front: SocketAddr,
    ready: SocketAddr,
    misses: u32,
    life: u32,
}

/// Request whose channel ended without a whole answer.
#[derive(Clone, Debug)]
struct Cut {
    id: String,
    daemon: usize,
    life: u32,
    is_first: bool,
    sent: Instant,
    ended: Instant,
    cause: String,
}

struct Shared {
    began: Instant,
    slots: Mutex<Vec<Option<Slot>>>,
    cuts: Mutex<Vec<Cut>>,
    is_over: AtomicBool,
    sent: AtomicU64,
    served: AtomicU64,
    others: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Small generator of pseudorandom numbers.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn figure(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn run() -> io::Result<bool> {
    let mut arguments = env::args().skip(1);
    let (Some(program), Some(folder), Some(record)) = (arguments.next(), arguments.next(), arguments.next()) else {
        return Err(io::Error::other("usage: roll PROGRAM FOLDER RECORD"));
    };
    let (program, folder) = (PathBuf::from(program), PathBuf::from(folder));
    fs::create_dir_all(&folder)?;
    let record = Record::create(&PathBuf::from(record))?;
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let figures = Figures {
        clients: figure("CLIENTS", 400) as usize,
        spread_us: figure("SPREAD_US", 4_000),
        work_ms: figure("WORK_MS", 20),
        rounds: figure("ROUNDS", 56) as usize,
    };
    let store = Store::start()?;
    let runs = Runs::default();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let zone = if number % 2 == 0 { "one" } else { "two" };
        let work = Duration::from_millis(figures.work_ms);
        workers.push(Worker::start(&format!("i-{number}"), SERVICE, zone, work, &runs)?);
    }
    store.put("op", "config", &config());
    heartbeat(store.clone(), workers);
    let shared = Arc::new(Shared {
        began: Instant::now(),
        slots: Mutex::default(),
        cuts: Mutex::default(),
        is_over: AtomicBool::new(false),
        sent: AtomicU64::new(0),
        served: AtomicU64::new(0),
        others: AtomicU64::new(0),
    });
    lock(&shared.slots).resize(DAEMONS, None);
    let mut fleet = Fleet::start(&program, &folder, store.address, &shared)?;
    thread::sleep(Duration::from_secs(3));
    let balancer = Arc::clone(&shared);
    thread::spawn(move || balance(&balancer));
    let clients: Vec<_> = (0..figures.clients)
        .map(|number| {
            let shared = Arc::clone(&shared);
            let spread_us = figures.spread_us;
            thread::spawn(move || client(&shared, number, spread_us))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    fleet.roll(&figures, has_trouble, &shared, &record)?;
    thread::sleep(Duration::from_secs(3));
    shared.is_over.store(true, Relaxed);
    for client in clients {
        // A client that failed has recorded nothing more.
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let lost = judge(&shared, &runs, &fleet.stops, &record);
    record.line(&format!(
        "sent {} served {} other ends {} cut without an answer {} of these run {lost}",
        shared.sent.load(Relaxed),
        shared.served.load(Relaxed),
        shared.others.load(Relaxed),
        lock(&shared.cuts).len(),
    ));
    record.flush()?;
    println!(
        "{lost} lost of {} sent, {} served",
        shared.sent.load(Relaxed),
        shared.served.load(Relaxed)
    );
    if shared.served.load(Relaxed) == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(lost == 0)
}

/// Daemons, each of which is stopped and started again.
struct Fleet {
    program: PathBuf,
    places: Vec<Place>,
    daemons: Vec<Daemon>,
    /// Number of times that each daemon was started again.
    lives: Vec<u32>,
    /// Daemons that were asked to stop and have not ended.
    stopping: Vec<(usize, Instant)>,
    /// All stops: the daemon, its life, and the time.
    stops: Vec<(usize, u32, Instant)>,
}

impl Fleet {
    fn start(program: &Path, folder: &Path, platform: SocketAddr, shared: &Shared) -> io::Result<Self> {
        let place = |number: usize| Place {
            name: format!("front-{number}"),
            zone: if number.is_multiple_of(2) { "one" } else { "two" }.to_owned(),
            platform,
            folder: folder.to_owned(),
        };
        let places: Vec<Place> = (0..DAEMONS).map(place).collect();
        let mut daemons = Vec::new();
        for (number, place) in places.iter().enumerate() {
            let daemon = place.start(program)?;
            set_slot(shared, number, &daemon, 0);
            daemons.push(daemon);
        }
        Ok(Self {
            program: program.to_owned(),
            places,
            daemons,
            lives: vec![0; DAEMONS],
            stopping: Vec::new(),
            stops: Vec::new(),
        })
    }

    /// Stops the daemons in turn, or does nothing for the same time.
    fn roll(&mut self, figures: &Figures, has_trouble: bool, shared: &Shared, record: &Record) -> io::Result<()> {
        let mut random = Random(0x2545_f491_4f6c_dd1d);
        for round in 0..figures.rounds {
            let number = round % DAEMONS;
            if has_trouble && !self.stopping.iter().any(|(other, _)| *other == number) {
                // The machine is stopped while it answers requests.
                thread::sleep(until_wave(shared) + Duration::from_micros(random.next() % (figures.spread_us + 1)));
                let at = Instant::now();
                let life = self.lives[number];
                self.stops.push((number, life, at));
                record.line(&format!("SIGTERM front-{number} start {life}"));
                self.daemons[number].signal("TERM")?;
                self.stopping.push((number, at));
            }
            let next = Instant::now() + GAP;
            while Instant::now() < next {
                thread::sleep(Duration::from_millis(20));
                self.restart_ended(shared, record)?;
            }
        }
        Ok(())
    }

    /// Starts the daemons again that have ended, or whose time to stop is over.
    fn restart_ended(&mut self, shared: &Shared, record: &Record) -> io::Result<()> {
        for (number, at) in std::mem::take(&mut self.stopping) {
            if self.daemons[number].ended()?.is_none() && at.elapsed() < GRACE {
                self.stopping.push((number, at));
                continue;
            }
            let seconds = at.elapsed().as_secs_f64();
            record.line(&format!("ended front-{number} after {seconds:.2} s"));
            self.daemons[number] = self.places[number].start(&self.program)?;
            self.lives[number] += 1;
            set_slot(shared, number, &self.daemons[number], self.lives[number]);
        }
        Ok(())
    }
}

fn judge(shared: &Shared, runs: &Runs, stops: &[(usize, u32, Instant)], record: &Record) -> usize {
    let mut lost = 0;
    let runs = runs.lock();
    for cut in lock(&shared.cuts).iter() {
        let stop = stops
            .iter()
            .find(|(number, life, _)| (*number, *life) == (cut.daemon, cut.life));
        let ran = runs.get(&cut.id).map_or(0, Vec::len);
        let moment = stop.map_or("without a stop".to_owned(), |(_, _, at)| {
            let after = cut.sent.saturating_duration_since(*at).as_secs_f64() * 1e3;
            let before = at.saturating_duration_since(cut.sent).as_secs_f64() * 1e3;
            format!("{:.2} ms after its SIGTERM", after - before)
        });
        let open_ms = cut.ended.duration_since(cut.sent).as_secs_f64() * 1e3;
        let is_lost = ran > 0 && open_ms < TIME_LIMIT.as_secs_f64() * 1e3;
        lost += usize::from(is_lost);
        record.line_at(
            cut.sent,
            &format!(
                "{} {} sent to front-{} start {} {} on a {} channel, which ended {open_ms:.2} ms later without an answer ({}); runs at workers: {ran}",
                if is_lost { "LOST" } else { "not passed on" },
                cut.id,
                cut.daemon,
                cut.life,
                moment,
                if cut.is_first { "new" } else { "kept" },
                cut.cause,
            ),
        );
    }
    lost
}

fn config() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "dock-check", "host": HOST, "prefix": "/dock/", "kind": "non_idempotent",
            "timeout_ms": 3000, "target_latency_ms": 300, "priority": 0, "service": SERVICE,
            "max_attempts": 2, "public": false, "stream_resume": false,
        }],
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 400, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "home", "api_keys": ["k-home"], "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}],
    })
}

/// Writes the workers' entries for as long as the process runs.
fn heartbeat(store: Store, workers: Vec<Worker>) {
    for worker in &workers {
        store.put("servers", &worker.id, &worker.registration(1));
    }
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(HEARTBEAT);
            for worker in &workers {
                store.put("servers", &worker.id, &worker.registration(seq));
            }
        }
    });
}

fn set_slot(shared: &Shared, number: usize, daemon: &Daemon, life: u32) {
    lock(&shared.slots)[number] = Some(Slot {
        front: daemon.front,
        ready: daemon.ready,
        // A daemon gets channels once it has responded.
        misses: if life == 0 { 0 } else { 2 },
        life,
    });
}

/// Checks once a second which daemons get new channels.
fn balance(shared: &Shared) {
    loop {
        let slots = lock(&shared.slots).clone();
        for (number, slot) in slots.iter().enumerate() {
            let Some(slot) = slot else { continue };
            let is_ready = is_ready(slot.ready).unwrap_or(false);
            if let Some(current) = &mut lock(&shared.slots)[number]
                && current.life == slot.life
            {
                current.misses = if is_ready { 0 } else { current.misses + 1 };
            }
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
    let answer = http::read(&mut BufReader::new(stream))?;
    Ok(answer.is_some_and(|answer| answer.status() == 200))
}

/// Sends requests on a kept channel, and opens another one when it ends.
fn client(shared: &Shared, number: usize, spread_us: u64) {
    let mut random = Random(0x9e37_79b9_7f4a_7c15 ^ ((number as u64 + 1) << 20));
    let mut count = 0;
    while !shared.is_over.load(Relaxed) {
        let chosen = {
            let slots = lock(&shared.slots);
            let ready: Vec<(usize, Slot)> = slots
                .iter()
                .enumerate()
                .filter_map(|(number, slot)| Some((number, (*slot)?)))
                .filter(|(_, slot)| slot.misses < 2)
                .collect();
            if ready.is_empty() {
                None
            } else {
                Some(ready[random.next() as usize % ready.len()])
            }
        };
        let Some((daemon, slot)) = chosen else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        // A channel that is not opened carries no request.
        let _ = channel(shared, &mut random, (number, &mut count), (daemon, slot), spread_us);
        thread::sleep(until_wave(shared) + Duration::from_micros(random.next() % (spread_us + 1)));
    }
}

/// Returns the time until the next wave begins.
fn until_wave(shared: &Shared) -> Duration {
    let since = shared.began.elapsed().as_micros() % WAVE.as_micros();
    WAVE.checked_sub(Duration::from_micros(u64::try_from(since).unwrap_or_default()))
        .unwrap()
}

fn channel(
    shared: &Shared,
    random: &mut Random,
    (client, count): (usize, &mut u64),
    (daemon, slot): (usize, Slot),
    spread_us: u64,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&slot.front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIME_LIMIT + Duration::from_secs(1)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut is_first = true;
    while !shared.is_over.load(Relaxed) {
        *count += 1;
        let id = format!("c{client}-{count}");
        let body = "x".repeat(600);
        let text = format!(
            "POST /dock/{client} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nAuthorization: Token k-home\r\nContent-Length: {}\r\n\r\n{body}",
            TIME_LIMIT.as_millis(),
            body.len()
        );
        let sent = Instant::now();
        if stream.write_all(text.as_bytes()).is_err() {
            return Ok(());
        }
        shared.sent.fetch_add(1, Relaxed);
        let answer = http::read(&mut reader);
        let cause = match answer {
            Ok(Some(answer)) => {
                if answer.status() == 200 && answer.body == format!("answer to {id}").as_bytes() {
                    shared.served.fetch_add(1, Relaxed);
                } else {
                    shared.others.fetch_add(1, Relaxed);
                }
                if answer.is_last() {
                    return Ok(());
                }
                is_first = false;
                thread::sleep(until_wave(shared) + Duration::from_micros(random.next() % (spread_us + 1)));
                continue;
            }
            Ok(None) => "closed".to_owned(),
            Err(error) => error.to_string(),
        };
        lock(&shared.cuts).push(Cut {
            id,
            daemon,
            life: slot.life,
            is_first,
            sent,
            ended: Instant::now(),
            cause,
        });
        return Ok(());
    }
    Ok(())
}
