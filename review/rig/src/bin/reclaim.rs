//! The workers of a zone are taken away while they stream.
//!
//! They say `draining` with the time that remains, and are killed at its end. Their answers have no length. The run
//! fails if a client's stream ends as complete before its last event.

#![forbid(unsafe_code)]

use std::env;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_rig::daemon::Place;
use review_rig::http;
use review_rig::process::Process;
use review_rig::record::Record;
use review_rig::store::Store;
use serde_json::Value;
use serde_json::json;

const DAEMONS: usize = 2;
/// Zones of the workers; those of the first one may be taken away.
const ZONES: [&str; 2] = ["one", "two"];
const WORKERS_PER_ZONE: usize = 2;
const SERVICE: &str = "llm";
const HOST: &str = "mapa.example";
const EVENTS: u64 = 40;
const PAUSE_MS: u64 = 100;
/// Time from the notice to the end of a worker that is taken away.
const NOTICE: Duration = Duration::from_millis(2_500);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval at which clients begin streams.
const INTERVAL: Duration = Duration::from_millis(150);
const TIME_LIMIT: Duration = Duration::from_secs(10);
/// Time from the first stream to the notice.
const CALM: Duration = Duration::from_secs(6);

/// Worker and its entry in the store.
struct Worker {
    id: String,
    zone: &'static str,
    address: SocketAddr,
    state: Mutex<(&'static str, u64, bool)>,
}

/// What a client got.
#[derive(Debug)]
struct Stream {
    id: String,
    began: Instant,
    ended: Instant,
    status: u16,
    worker: String,
    events: Vec<u64>,
    /// Whether the answer ended as complete.
    is_complete: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
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

fn run() -> io::Result<bool> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [program, stand_in, folder, record] = arguments.as_slice() else {
        return Err(io::Error::other("usage: reclaim PROGRAM WORKER FOLDER RECORD"));
    };
    let (program, stand_in, folder) = (PathBuf::from(program), PathBuf::from(stand_in), PathBuf::from(folder));
    fs::create_dir_all(&folder)?;
    let record = Record::create(&PathBuf::from(record))?;
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    // Without the notice, the workers crash.
    let is_crash = env::var("NOTICE").is_ok_and(|text| text == "none");
    let framing = env::var("FRAMING").unwrap_or_else(|_unset| "unframed".to_owned());
    let store = Store::start()?;
    let mut processes = Vec::new();
    let mut workers = Vec::new();
    for number in 0..ZONES.len() * WORKERS_PER_ZONE {
        let id = format!("i-{number}");
        let (events, pause) = (EVENTS.to_string(), PAUSE_MS.to_string());
        let process = Process::start(&stand_in, &[&id, &framing, &events, &pause], &id, &record)?;
        workers.push(Arc::new(Worker {
            id,
            zone: ZONES[number % ZONES.len()],
            address: process.address,
            state: Mutex::new(("ready", 0, true)),
        }));
        processes.push(process);
    }
    store.put("op", "config", &config());
    for worker in &workers {
        worker.write(&store);
    }
    heartbeat(store.clone(), workers.clone());
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let place = Place {
            name: format!("front-{number}"),
            zone: ZONES[number % ZONES.len()].to_owned(),
            platform: store.address,
            folder: folder.clone(),
        };
        daemons.push(place.start(&program)?);
    }
    thread::sleep(Duration::from_secs(3));
    let streams = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let began = Instant::now();
    let mut noticed: Option<Instant> = None;
    let mut has_ended = false;
    let mut count = 0;
    while began.elapsed() < CALM + NOTICE + Duration::from_secs(6) {
        if has_trouble && noticed.is_none() && began.elapsed() >= CALM {
            noticed = Some(Instant::now());
            record.line(&format!("zone one is taken away in {} ms", NOTICE.as_millis()));
            for worker in workers.iter().filter(|worker| worker.zone == ZONES[0]) {
                if !is_crash {
                    worker.set("draining", &store);
                }
            }
        }
        if !has_ended && noticed.is_some_and(|at| at.elapsed() >= NOTICE) {
            has_ended = true;
            for (worker, process) in workers.iter().zip(&mut processes) {
                if worker.zone == ZONES[0] {
                    lock(&worker.state).2 = false;
                    process.kill()?;
                    record.line(&format!("killed {}", worker.id));
                }
            }
        }
        let front = daemons[count % DAEMONS].front;
        let streams = Arc::clone(&streams);
        let id = format!("s{count}");
        clients.push(thread::spawn(move || {
            let stream = ask(front, &id);
            lock(&streams).push(stream);
        }));
        count += 1;
        thread::sleep(INTERVAL);
    }
    for client in clients {
        // A client that failed has recorded nothing.
        let _ = client.join();
    }
    let wrong = judge(&lock(&streams), &record);
    record.flush()?;
    Ok(wrong == 0)
}

fn judge(streams: &[Stream], record: &Record) -> usize {
    let whole: Vec<u64> = (1..=EVENTS).collect();
    let mut wrong = 0;
    let mut served = 0;
    for stream in streams {
        let is_whole = stream.events == whole;
        let is_wrong = stream.status == 200 && stream.is_complete && !is_whole;
        wrong += usize::from(is_wrong);
        served += usize::from(stream.is_complete && is_whole);
        record.line_at(
            stream.ended,
            &format!(
                "{} {}: status {} of {}, {} events of {EVENTS}, the last one {:?}, ended {} after {} ms",
                if is_wrong { "WRONG" } else { "client" },
                stream.id,
                stream.status,
                stream.worker,
                stream.events.len(),
                stream.events.last(),
                if stream.is_complete { "as complete" } else { "as cut" },
                stream.ended.duration_since(stream.began).as_millis(),
            ),
        );
    }
    let summary = format!(
        "{} streams, {served} whole, {wrong} ended as complete without all events",
        streams.len()
    );
    record.line(&summary);
    println!("{summary}");
    wrong
}

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "rebuild", "host": HOST, "prefix": "/rebuild/", "kind": "streaming",
            "timeout_ms": 10000, "target_latency_ms": 1000, "gap_aim_ms": 250, "priority": 0, "service": SERVICE,
            "max_attempts": 2, "public": false, "stream_resume": true, "sticky_sessions": true,
        }],
        "services": [{
            "name": SERVICE, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
            "engine": {"slots": 64, "kv_capacity": 574_316, "kv_token_bytes": 163_840, "link_mbps": 1_100_000.0, "moves": false},
        }],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "home", "api_keys": ["k-home"], "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}],
    })
}

impl Worker {
    fn set(&self, state: &'static str, store: &Store) {
        lock(&self.state).0 = state;
        self.write(store);
    }

    /// Writes its entry, unless it has ended.
    fn write(&self, store: &Store) {
        let mut state = lock(&self.state);
        if !state.2 {
            return;
        }
        state.1 += 1;
        let mut entry = json!({
            "service": SERVICE,
            "address": self.address.to_string(),
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": state.0,
            "cold_left_ms": 0,
            "spot": self.zone == ZONES[0],
            "seq": state.1,
        });
        if state.0 == "draining" {
            entry["leaves_ms"] = json!(NOTICE.as_millis() as u64);
        }
        store.put("servers", &self.id, &entry);
    }
}

fn heartbeat(store: Store, workers: Vec<Arc<Worker>>) {
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            for worker in &workers {
                worker.write(&store);
            }
        }
    });
}

/// Sends a request for a stream and reads its answer to the end.
fn ask(front: SocketAddr, id: &str) -> Stream {
    let now = Instant::now();
    let mut stream = Stream {
        id: id.to_owned(),
        began: now,
        ended: now,
        status: 0,
        worker: String::new(),
        events: Vec::new(),
        is_complete: false,
    };
    // An error means that the answer is not complete.
    stream.is_complete = read(front, &mut stream).unwrap_or(false);
    stream.ended = Instant::now();
    stream
}

/// Reads the events of an answer; returns whether it ended as complete.
fn read(front: SocketAddr, stream: &mut Stream) -> io::Result<bool> {
    let mut connection = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    connection.set_read_timeout(Some(TIME_LIMIT))?;
    let text = format!(
        "POST /rebuild/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 1460,160\r\nX-Prompt-Prefix: 5c1e07a2:800,{part:x}:660\r\nX-Deadline-Ms: {limit}\r\n\
         Authorization: Token k-home\r\nContent-Length: 2\r\n\r\n{{}}",
        id = stream.id,
        part = stream
            .id
            .bytes()
            .fold(7_u64, |hash, byte| hash.wrapping_mul(131) ^ u64::from(byte)),
        limit = TIME_LIMIT.as_millis(),
    );
    connection.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(connection);
    let Some(head) = http::read_head(&mut reader)? else {
        return Ok(false);
    };
    stream.status = head.status();
    head.field("x-instance-id")
        .unwrap_or_default()
        .clone_into(&mut stream.worker);
    let is_chunked = head
        .field("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if !is_chunked {
        let length = head
            .field("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        return Ok(true);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut piece = vec![0; length + 2];
        reader.read_exact(&mut piece)?;
        if length == 0 {
            return Ok(true);
        }
        body.extend_from_slice(&piece[..length]);
        let text = String::from_utf8_lossy(&body);
        stream.events = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
    }
}
