//! Test site with a store, endpoints and daemons, and callers that send requests to it.

use core::net::SocketAddr;
use core::time::Duration;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Instant;

use bergamotshift_forward::daemon;
use bergamotshift_forward::daemon::Signals;
use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Kind;
use bergamotshift_forward::document::Organisation;
use bergamotshift_forward::document::Route;
use bergamotshift_forward::document::Service;
use bergamotshift_forward::document::Split;
use bergamotshift_forward::settings::Listen;
use bergamotshift_forward::settings::Settings;
use bergamotshift_standin::port::Reservation;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::endpoint::Endpoint;
use crate::endpoint::HEALTH;
use crate::endpoint::header;
use crate::endpoint::read_head;
use crate::outside;
use crate::outside::Shared;
use crate::outside::lock;

/// Time after which a test that waits for a condition fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// API key of the organisation `horeca`.
pub const KEY: &str = "key-1";

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics when the condition does not hold in time.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < TIMEOUT, "it did not come about: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Daemon that runs on its own thread until it is dropped.
pub struct Daemon {
    pub listen: Listen,
    stop: mpsc::UnboundedSender<()>,
    /// Thread that it runs on, until it is joined.
    thread: Option<JoinHandle<usize>>,
}

impl Drop for Daemon {
    /// Asks the daemon to stop, so that it holds no sockets while other tests run.
    fn drop(&mut self) {
        // An error means that it has ended.
        let _ = self.stop.send(());
    }
}

impl Daemon {
    /// Asks the daemon to stop.
    pub fn stop(&self) {
        self.stop.send(()).expect("it runs");
    }

    /// Waits for the daemon's end and returns the number of requests that it cut. Its ports stay reserved.
    pub fn join(mut self) -> usize {
        let thread = self.thread.take().expect("it is joined once");
        let cut = thread.join().expect("it ends in order");
        let listen = &self.listen;
        let addresses = [listen.callers, listen.ready, listen.peers, listen.metrics];
        for address in addresses.into_iter().chain(listen.relay) {
            wait_until("the listener is closed", || TcpStream::connect(address).is_err());
        }
        cut
    }

    /// Returns the number of other entries with a recent state.
    pub fn peer_count(&self) -> Option<usize> {
        self.value("bergamotshift_forward_peers")
    }

    /// Returns the number of known endpoints.
    pub fn endpoint_count(&self) -> Option<usize> {
        self.value("bergamotshift_forward_endpoints")
    }

    /// Returns whether the daemon is the keeper of its zone.
    pub fn is_keeper(&self) -> bool {
        self.value("bergamotshift_forward_zone_keeper") == Some(1)
    }

    /// Returns how often the daemon found the store restored from a copy.
    pub fn restore_count(&self) -> Option<usize> {
        self.value("bergamotshift_forward_store_restores_total")
    }

    /// Returns the number of deaths of endpoints that the daemon recorded while they ran requests of its own.
    pub fn death_count(&self) -> Option<usize> {
        self.value("bergamotshift_forward_endpoint_deaths_total")
    }

    /// Returns the age of the daemon's registrations, in seconds.
    pub fn registrations_age(&self) -> Option<f64> {
        self.text_value("bergamotshift_forward_registrations_age_seconds")?
            .parse()
            .ok()
    }

    /// Reads a whole number from the daemon's metrics.
    pub fn value(&self, name: &str) -> Option<usize> {
        self.text_value(name)?.parse().ok()
    }

    /// Reads a gauge or a counter from the daemon's metrics.
    fn text_value(&self, name: &str) -> Option<String> {
        let mut caller = TcpStream::connect(self.listen.metrics).ok()?;
        caller
            .write_all(b"GET /metrics HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n")
            .ok()?;
        let mut text = String::new();
        caller.read_to_string(&mut text).ok()?;
        let mut values = text.lines().filter_map(|line| line.strip_prefix(name));
        Some(values.next()?.trim().to_owned())
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let Ok(mut caller) = TcpStream::connect(self.listen.ready) else {
            return false;
        };
        let asked = caller.write_all(b"GET /ready HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n");
        asked.is_ok()
            && read_head(&mut caller)
                .ok()
                .flatten()
                .is_some_and(|head| head.contains(" 200 "))
    }
}

/// Store and cloud of one test, in which daemons and endpoints run.
pub struct Site {
    pub backend: Shared,
    name: String,
}

impl Site {
    /// Creates a site with the default document, in which these endpoints run the service `staff`.
    pub fn new(endpoints: &[&Endpoint]) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let name = format!("world-{}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let backend = outside::backend(&name);
        lock(&backend).put_document(document(1));
        for endpoint in endpoints {
            lock(&backend).register(endpoint.registration("staff"));
        }
        Self { backend, name }
    }

    /// Starts a daemon and waits until it is ready.
    pub fn start(&self) -> Daemon {
        let daemon = self.launch("entry-1", &[]);
        wait_until("the daemon is ready", || daemon.is_ready());
        daemon
    }

    /// Starts a daemon with a name and the addresses of other entries.
    pub fn launch(&self, name: &str, seeds: &[SocketAddr]) -> Daemon {
        self.launch_with(name, seeds, "")
    }

    /// Starts a daemon with a name and a grace period in seconds.
    pub fn launch_with_grace(&self, name: &str, grace_s: f64) -> Daemon {
        self.launch_with_logger(name, grace_s, Logger::root(slog::Discard, slog::o!()))
    }

    /// Starts a daemon with a name, a grace period in seconds and a logger.
    pub fn launch_with_logger(&self, name: &str, grace_s: f64, logger: Logger) -> Daemon {
        self.launch_for(name, &[], "", grace_s, logger)
    }

    /// Starts a daemon with a name, the addresses of other entries and additional settings.
    pub fn launch_with(&self, name: &str, seeds: &[SocketAddr], extra_settings: &str) -> Daemon {
        let logger = Logger::root(slog::Discard, slog::o!());
        self.launch_for(name, seeds, extra_settings, 6.0, logger)
    }

    fn launch_for(
        &self,
        name: &str,
        seeds: &[SocketAddr],
        extra_settings: &str,
        grace_s: f64,
        logger: Logger,
    ) -> Daemon {
        let ports: [Reservation; 5] = core::array::from_fn(|_| Reservation::any().expect("a port is free"));
        for port in &ports {
            port.open().expect("a socket takes the option");
        }
        let [callers, ready, peers, metrics, relay] = ports.each_ref().map(|port| port.address);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            r#"
            name = "{name}"
            zone = "one"
            outside = "memory"
            [listen]
            callers = "{callers}"
            ready = "{ready}"
            peers = "{peers}"
            metrics = "{metrics}"
            relay = "{relay}"
            [store]
            address = "{backend}@{name}"
            [cloud]
            address = "here"
            [peers]
            seeds = [{seeds}]
            [stop]
            grace_s = {grace_s:?}
            [duty]
            lease_ms = 1000
            usage_window_s = 1.0
            {extra_settings}
            "#,
            backend = self.name,
            seeds = seeds.join(","),
        );
        let settings = Settings::parse(&text).expect("the settings are in order");
        let (stop, stopped) = mpsc::unbounded_channel();
        let (_reload, reloaded) = mpsc::unbounded_channel();
        let (started, addresses) = oneshot::channel();
        let signals = Signals {
            stop: stopped,
            reload: reloaded,
            started: Some(started),
        };
        let thread = thread::spawn(move || {
            let run = daemon::run(settings, logger, signals);
            let ended = System::new("daemon", DefaultRuntime).block_on(run);
            ended.expect("it starts")
        });
        let listen = addresses.blocking_recv().expect("it starts");
        for port in &ports {
            port.close().expect("a socket takes the option");
        }
        Daemon {
            listen,
            stop,
            thread: Some(thread),
        }
    }
}

fn route(prefix: &str, kind: Kind) -> Route {
    Route {
        name: prefix.into(),
        host: "staff.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        pause: Duration::from_millis(400),
        urgency: 2,
        splits: vec![Split {
            service: "staff".into(),
            weight: 1,
        }],
        attempts: 2,
        public: false,
        resumable: false,
    }
}

/// Returns the default document with the given version.
pub fn document(version: u64) -> Document {
    let mut resumable = route("/draft/", Kind::Stream);
    resumable.resumable = true;
    let mut public = route("/open/", Kind::Idempotent);
    public.public = true;
    Document {
        version,
        routes: vec![
            route("/checkin/", Kind::Idempotent),
            route("/confirm/", Kind::Once),
            route("/chat/", Kind::Stream),
            resumable,
            public,
        ],
        services: vec![Service {
            name: "staff".into(),
            connections: 100,
            engine: None,
            scale: None,
            health: Some(HEALTH.into()),
        }],
        organisations: vec![Organisation {
            name: "horeca".into(),
            keys: vec![KEY.into()],
            urgency: None,
            limit: None,
        }]
        .into(),
        ..Document::default()
    }
}

/// Answer that a caller received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Connection of a caller.
pub struct Caller(pub TcpStream);

impl Caller {
    pub fn new(daemon: &Daemon) -> Self {
        Self::connect(daemon).expect("the daemon listens")
    }

    /// Opens a connection; `None` if nobody listens any more.
    pub fn connect(daemon: &Daemon) -> Option<Self> {
        Self::open(daemon.listen.callers)
    }

    /// Opens a connection to an address; `None` if nobody listens there.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a socket takes a timeout");
        Some(Self(stream))
    }

    /// Sends a request with the key of `horeca`.
    pub fn send(&mut self, method: &str, path: &str, id: &str, extra: &str, body: &str) {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer {KEY}\r\n\
             bergamotshift-request: {id}\r\nbergamotshift-deadline-ms: 4000\r\ncontent-length: {}\r\n{extra}\r\n{body}",
            body.len()
        );
        self.0.write_all(text.as_bytes()).expect("the connection stands");
    }

    /// Reads an answer; `None` when the connection ends before the head is complete.
    pub fn read_answer(&mut self) -> Option<Answer> {
        let head = read_head(&mut self.0).ok().flatten()?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let (body, is_complete) = match header(&head, "content-length") {
            Some(length) => self.read_sized(length.parse().ok()?),
            None if header(&head, "transfer-encoding").is_some() => self.read_chunked(),
            None => (Vec::new(), true),
        };
        Some(Answer {
            status,
            head,
            body,
            is_complete,
        })
    }

    /// Sends a request and reads its answer.
    pub fn ask(&mut self, method: &str, path: &str, id: &str, body: &str) -> Answer {
        self.send(method, path, id, "", body);
        self.read_answer().expect("an answer comes")
    }

    fn read_sized(&mut self, length: usize) -> (Vec<u8>, bool) {
        let mut body = vec![0; length];
        let is_complete = self.0.read_exact(&mut body).is_ok();
        (body, is_complete)
    }

    fn read_chunked(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let mut line = Vec::new();
            let mut byte = [0];
            while !line.ends_with(b"\r\n") {
                match self.0.read(&mut byte) {
                    Ok(1) => line.push(byte[0]),
                    _ => return (body, false),
                }
            }
            let text = String::from_utf8_lossy(&line);
            let Ok(size) = usize::from_str_radix(text.trim(), 16) else {
                return (body, false);
            };
            let (chunk, is_complete) = self.read_sized(size + 2);
            if !is_complete {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}
