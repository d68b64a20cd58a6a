//! Small deployment: the project's daemons, workers and the platform's store, on loopback addresses.

use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bergamotshift_metadata_standin::Store;
use serde_json::Value;
use serde_json::json;

use crate::config::KEY;
use crate::config::tenant;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::worker::Habit;

/// Time after which the store drops the entry of a worker that is silent: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3_600);

/// What a worker said that it did with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deed {
    /// It began to run it.
    Ran,
    /// It sent the whole answer.
    Answered,
}

/// One line of a worker.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Seconds since the start of the case.
    pub at: f64,
    /// Worker.
    pub worker: String,
    /// Identifier of the request.
    pub request: String,
    /// What was done.
    pub deed: Deed,
}

/// Worker that runs.
#[derive(Debug)]
struct Worker {
    id: String,
    habit: Habit,
    zone: &'static str,
    child: Child,
    /// Link to it, if it is not reached directly.
    link: Option<Proxy>,
}

/// Daemon that runs.
#[derive(Debug)]
struct Daemon {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
}

/// All that a case starts; it is ended when this is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Record of the case.
    pub record: Record,
    store: Store,
    daemons: Vec<Daemon>,
    workers: Vec<Worker>,
    entries: Arc<Mutex<Vec<Entry>>>,
    folder: PathBuf,
    ended: u32,
    /// Whether workers are reached over links of their own.
    pub has_links: bool,
    seed: u64,
}

/// Returns five free ports for the daemon of a number. They lie below those that the system gives to connections.
fn free_ports(number: usize) -> io::Result<Vec<u16>> {
    const FIRST: usize = 12_000;
    const BLOCKS: usize = 400;
    const BLOCK: usize = 50;
    let block = FIRST + (std::process::id() as usize * 7 + number * 131) % BLOCKS * BLOCK;
    let ports = (block..block + BLOCK).filter_map(|port| u16::try_from(port).ok());
    let free: Vec<u16> = ports
        .filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok())
        .take(5)
        .collect();
    if free.len() < 5 {
        return Err(io::Error::other("no five ports are free"));
    }
    Ok(free)
}

impl Fleet {
    /// Starts a store without rows.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn start(record: Record) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start();
        let mut state = store.state();
        state.long_polling = true;
        state.discards_calls = true;
        drop(state);
        Ok(Self {
            record,
            store,
            daemons: Vec::new(),
            workers: Vec::new(),
            entries: Arc::default(),
            folder,
            ended: 0,
            has_links: false,
            seed: u64::from(std::process::id()),
        })
    }

    /// Writes a config with these routes, all to the service `app`, and one tenant.
    pub fn configure(&self, version: u64, routes: &[Value]) {
        self.configure_for(version, routes, &[tenant("hule", KEY)]);
    }

    /// Writes a config with these routes, all to the service `app`, and these tenants.
    pub fn configure_for(&self, version: u64, routes: &[Value], tenants: &[Value]) {
        let config = json!({
            "version": version, "routes": routes,
            "services": [{ "name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1",
                "tls": false }],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000 },
            "tenants": tenants,
        });
        self.store.put("op", "config", &config);
        self.record.add(&format!(
            "config {version} acknowledged, {} routes, {} tenants",
            routes.len(),
            tenants.len()
        ));
    }

    /// Starts a worker and registers it; returns its number.
    ///
    /// # Errors
    ///
    /// Returns why it does not start.
    pub fn add_worker(&mut self, habit: Habit, zone: &'static str) -> io::Result<usize> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["worker", &habit.id]);
        command.arg(habit.work.as_millis().to_string());
        command.arg(habit.idle.as_millis().to_string());
        command.arg(if habit.is_unframed { "unframed" } else { "framed" });
        command.arg(if habit.fails { "fails" } else { "sound" });
        command.arg(habit.deadly.as_deref().unwrap_or(""));
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let out = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (send, receive) = mpsc::channel();
        let (entries, record, id) = (Arc::clone(&self.entries), self.record.clone(), habit.id.clone());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let mut words = line.split(' ');
                let (word, request) = (words.next(), words.next().unwrap_or_default());
                let deed = match word {
                    Some("port") => {
                        // The receiver waits for this line.
                        drop(send.send(request.to_owned()));
                        continue;
                    }
                    Some("run") => Deed::Ran,
                    Some("done") => Deed::Answered,
                    _ => continue,
                };
                record.add(&format!("worker {id}: {line}"));
                let entry = Entry {
                    at: record.now(),
                    worker: id.clone(),
                    request: request.to_owned(),
                    deed,
                };
                entries.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
            }
        });
        let port = receive.recv_timeout(Duration::from_secs(5)).map_err(io::Error::other)?;
        let port: u16 = port.parse().map_err(io::Error::other)?;
        self.seed += 1;
        let link = if self.has_links {
            Some(Proxy::open(port, self.seed)?)
        } else {
            None
        };
        let address = link
            .as_ref()
            .map_or_else(|| format!("127.0.0.1:{port}"), |link| link.address.to_string());
        self.store.put(
            "servers",
            &habit.id,
            &json!({
                "service": "app", "address": address, "zone": zone, "version": "v1", "slots": 6,
                "state": "ready", "cold_left_ms": 0, "seq": 1,
            }),
        );
        self.record.add(&format!("worker {} registered", habit.id));
        self.workers.push(Worker {
            id: habit.id.clone(),
            habit,
            zone,
            child,
            link,
        });
        Ok(self.workers.len() - 1)
    }

    /// Kills a worker. The store drops its entry after three heartbeats, and another one takes its place after `back`.
    ///
    /// # Errors
    ///
    /// Returns why it is not replaced.
    pub fn crash_worker(&mut self, number: usize, back: Duration) -> io::Result<()> {
        let worker = &mut self.workers[number];
        self.record.add(&format!("worker {} crashes", worker.id));
        // It may have ended by itself.
        drop(worker.child.kill());
        worker.child.wait()?;
        if let Some(link) = &worker.link {
            link.close();
        }
        self.replace_worker(number, back)
    }

    /// Sets how many packets of a thousand the links to these workers lose.
    pub fn lose(&self, workers: &[usize], lost: u32) {
        for link in workers.iter().filter_map(|number| self.workers[*number].link.as_ref()) {
            link.lose(lost);
        }
        self.record.add(&format!(
            "links to workers {workers:?} lose {lost} packets of a thousand"
        ));
    }

    /// Kills several workers at the same moment. Others take their places after `back`.
    ///
    /// # Errors
    ///
    /// Returns why they are not replaced.
    pub fn crash_workers(&mut self, numbers: &[usize], back: Duration) -> io::Result<()> {
        for number in numbers {
            let worker = &mut self.workers[*number];
            self.record.add(&format!("worker {} crashes", worker.id));
            worker.child.kill()?;
        }
        for number in numbers {
            let worker = &mut self.workers[*number];
            worker.child.wait()?;
            if let Some(link) = &worker.link {
                link.close();
            }
        }
        thread::sleep(back);
        for number in numbers {
            let worker = &self.workers[*number];
            if let Some(link) = &worker.link {
                self.record.add(&format!(
                    "the link to worker {} lost {} packets",
                    worker.id,
                    link.lost()
                ));
            }
            self.replace_worker(*number, Duration::ZERO)?;
        }
        Ok(())
    }

    /// Replaces a worker whose process has ended.
    ///
    /// # Errors
    ///
    /// Returns why it is not replaced.
    pub fn replace_worker(&mut self, number: usize, back: Duration) -> io::Result<()> {
        let worker = &self.workers[number];
        let (store, id, record) = (self.store.clone(), worker.id.clone(), self.record.clone());
        thread::spawn(move || {
            thread::sleep(LAPSE);
            store.deregister(&id);
            record.add(&format!("entry of worker {id} lapsed"));
        });
        thread::sleep(back);
        self.ended += 1;
        let habit = Habit {
            id: format!("i-new{}", self.ended),
            ..worker.habit.clone()
        };
        let zone = worker.zone;
        let added = self.add_worker(habit, zone)?;
        self.workers.swap(number, added);
        self.workers.pop();
        Ok(())
    }

    /// Returns the number of the worker that runs most requests whose identifiers begin with `prefix`.
    pub fn busiest(&self, prefix: &str) -> usize {
        let entries = self.entries();
        let running = |id: &str| {
            let own = entries
                .iter()
                .filter(|entry| entry.worker == id && entry.request.starts_with(prefix));
            own.map(|entry| if entry.deed == Deed::Ran { 1 } else { -1 })
                .sum::<i32>()
        };
        let numbers = 0..self.workers.len();
        numbers
            .max_by_key(|number| running(&self.workers[*number].id))
            .unwrap_or(0)
    }

    /// Returns the numbers of the workers whose processes have ended by themselves.
    pub fn ended_workers(&mut self) -> Vec<usize> {
        let workers = self.workers.iter_mut().enumerate();
        let ended = workers.filter_map(|(number, worker)| worker.child.try_wait().ok().flatten().map(|_| number));
        ended.collect()
    }

    /// Starts `count` daemons with the command of the deploy file and the template's settings, and waits until all are
    /// ready.
    ///
    /// # Errors
    ///
    /// Returns why they are not.
    pub fn start_daemons(&mut self, count: usize) -> io::Result<()> {
        const ZONES: [&str; 4] = ["montevideo-a", "montevideo-b", "canelones", "maldonado"];
        let ports: Vec<Vec<u16>> = (0..count).map(free_ports).collect::<Result<_, _>>()?;
        let seeds: Vec<_> = ports
            .iter()
            .take(3)
            .map(|ports| format!("127.0.0.1:{}", ports[2]))
            .collect();
        for (number, ports) in ports.iter().enumerate() {
            let zone = ZONES[number % ZONES.len()];
            let address = |index: usize| format!("127.0.0.1:{}", ports[index]);
            let store = self.store.address;
            let text = format!(
                "name = \"front-{zone}-{number}\"\nzone = \"{zone}\"\ncore_share = 0.25\nlink_mbps = 1000.0\n\
                 memory_mb = 260\ndescriptors = 4100\noutside = \"metadata\"\n[listen]\ncallers = \"{}\"\n\
                 ready = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\nrelay = \"{}\"\n[peers]\nseeds = {seeds:?}\n[store]\n\
                 address = \"{store}\"\n[cloud]\naddress = \"{store}\"\n[stop]\ngrace_s = 8\n[retry]\nratio = 0.2\n\
                 slack = 56\n[duty]\nlease_ms = 3000\nusage_window_s = 5\nusage_due_s = 10\n[limit]\nslack = 190000\n\
                 [capacity]\nreclaimable = 5\nleast = 7\nreads = 25000.0\nahead = true\n[rollout]\n",
                address(0),
                address(1),
                address(2),
                address(3),
                address(4)
            );
            let settings = self.folder.join(format!("node-{number}.toml"));
            fs::write(&settings, text)?;
            let parse = |index: usize| address(index).parse().map_err(io::Error::other);
            let daemon = Daemon {
                child: run(&settings)?,
                callers: parse(0)?,
                ready: parse(1)?,
                settings,
            };
            self.daemons.push(daemon);
        }
        self.wait_until_ready()
    }

    /// Kills all daemons at the same moment, and starts them again after a pause.
    ///
    /// # Errors
    ///
    /// Returns why they are not ready again.
    pub fn kill_daemons(&mut self, pause: Duration) -> io::Result<()> {
        self.record.add("all daemons are killed");
        for daemon in &mut self.daemons {
            daemon.child.kill()?;
            daemon.child.wait()?;
        }
        thread::sleep(pause);
        for daemon in &mut self.daemons {
            daemon.child = run(&daemon.settings)?;
        }
        self.wait_until_ready()
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        while !self.daemons.iter().all(|daemon| is_ready(daemon.ready)) {
            if Instant::now() > until {
                return Err(io::Error::other("the daemons are not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.add("all daemons are ready");
        Ok(())
    }

    /// Returns the address for callers of a daemon.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.daemons[number % self.daemons.len()].callers
    }

    /// Returns what the workers said.
    pub fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how often a request ran, and how many of the runs sent their whole answer.
    pub fn runs(&self, request: &str) -> (usize, usize) {
        let entries = self.entries();
        let count = |deed: Deed| {
            let own = entries.iter().filter(|entry| entry.request == request);
            own.filter(|entry| entry.deed == deed).count()
        };
        (count(Deed::Ran), count(Deed::Answered))
    }
}

/// Starts a daemon as the deploy file says.
fn run(settings: &PathBuf) -> io::Result<Child> {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))?;
    Command::new("target/release/bergamotshift")
        .args(["forward", "--log-format", "json"])
        .env("BERGAMOTSHIFT_SETTINGS", settings)
        .env("MIMALLOC_ALLOW_THP", "0")
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        io::Result::Ok(answer)
    };
    ask().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let workers = self.workers.iter_mut().map(|worker| &mut worker.child);
        let daemons = self.daemons.iter_mut().map(|daemon| &mut daemon.child);
        for child in workers.chain(daemons) {
            // One that has ended already needs nothing.
            drop(child.kill());
            drop(child.wait());
        }
        if let Err(error) = fs::remove_dir_all(&self.folder) {
            eprintln!("temporary folder not removed: {error}");
        }
    }
}
