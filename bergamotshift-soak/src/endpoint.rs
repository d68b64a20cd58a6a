//! Endpoints that note every request they get, and misbehave on order.

use core::mem;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU8;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::thread;
use std::time::Instant;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::dialect::Dialect;
use bergamotshift_forward::dialect::LAST_EVENT;
use bergamotshift_forward::endpoint::Registration;
use bergamotshift_forward::outside::Cursor;
use bergamotshift_metadata_standin::Call;
use smol_str::SmolStr;

use crate::answer::body;
use crate::answer::event;
use crate::engine::Engine;
use crate::engine::is_open;
pub use crate::habit::Habit;
use crate::ledger::Arrival;
use crate::ledger::Ledger;
use crate::proxy::Proxy;
use crate::site::CRASHING_PART;
use crate::site::HEALTH;
use crate::site::Kind;
pub use crate::statement::Notice;

/// How long a request takes, and how far apart the events of a stream are.
const WORK: Duration = Duration::from_millis(8);

/// How far apart the events of a schedule are.
const SCHEDULE_WORK: Duration = Duration::from_millis(25);

/// How many requests an endpoint has room for, as it registers that.
pub const SLOTS: u32 = 64;

/// How many requests an endpoint runs at a time while it tolerates few rejections.
const SCARCE_ROOM: usize = 1;

/// A request that an endpoint runs.
struct Run<'a>(&'a AtomicUsize);

impl<'a> Run<'a> {
    fn begin(running: &'a AtomicUsize) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Shared {
    id: SmolStr,
    service: &'static str,
    version: SmolStr,
    /// What makes it a model engine; `None` for an endpoint of a plain service.
    engine: Option<Engine>,
    dialect: Dialect,
    ledger: Arc<Ledger>,
    habit: AtomicU8,
    notice: Mutex<Notice>,
    /// Until when it stands still.
    paused_until: Mutex<Instant>,
    /// The requests that it runs.
    running: AtomicUsize,
    is_gone: AtomicBool,
    /// Whether its answers have neither a length nor chunks.
    is_unframed: AtomicBool,
    /// Time without a request after which it closes a connection; `None` for ever.
    idle: Mutex<Option<Duration>>,
    /// What all entries' connections go through.
    proxy: OnceLock<Proxy>,
    /// The connections that stand, by the port at the other side.
    streams: Mutex<BTreeMap<u16, TcpStream>>,
}

/// One incarnation of an endpoint, behind a proxy.
#[derive(Clone, Debug)]
pub struct Endpoint {
    shared: Arc<Shared>,
    address: SocketAddr,
    /// What all entries' connections go through.
    pub proxy: Proxy,
}

impl Endpoint {
    /// Starts an endpoint, which is a model engine if it has a usual pace.
    ///
    /// # Errors
    ///
    /// Returns what the system says when no port is free.
    pub fn start(
        id: SmolStr,
        service: &'static str,
        version: SmolStr,
        usual_pace: Option<u32>,
        ledger: Arc<Ledger>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id,
            service,
            version,
            engine: usual_pace.map(Engine::new),
            dialect: bergamotshift_metadata::dialect(),
            ledger,
            habit: AtomicU8::new(0),
            notice: Mutex::default(),
            paused_until: Mutex::new(Instant::now()),
            running: AtomicUsize::new(0),
            is_gone: AtomicBool::new(false),
            is_unframed: AtomicBool::new(false),
            idle: Mutex::default(),
            proxy: OnceLock::new(),
            streams: Mutex::default(),
        });
        let proxy = Proxy::start(address)?;
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_gone.load(Ordering::Relaxed) {
                    return;
                }
                let served = Arc::clone(&served);
                // A connection that breaks concerns its entry alone.
                thread::spawn(move || drop(served.keep(stream)));
            }
        });
        let proxy = shared.proxy.get_or_init(|| proxy).clone();
        Ok(Self { shared, address, proxy })
    }

    /// Returns its incarnation's name.
    pub fn id(&self) -> &SmolStr {
        &self.shared.id
    }

    /// Returns its service.
    pub fn service(&self) -> &'static str {
        self.shared.service
    }

    /// Returns the version of its software.
    pub fn version(&self) -> &SmolStr {
        &self.shared.version
    }

    /// Returns what makes it a model engine.
    pub fn engine(&self) -> Option<&Engine> {
        self.shared.engine.as_ref()
    }

    /// Returns what it registers.
    pub fn registration(&self, zone: &str, leaving: bool) -> Registration {
        Registration {
            id: self.shared.id.clone(),
            // Its identifier outlives its process ([`Endpoint::restart`]).
            born: 1,
            version: self.shared.version.clone(),
            service: self.shared.service.into(),
            address: self.proxy.address,
            zone: zone.into(),
            slots: SLOTS,
            leaving,
            market: Market::OnDemand,
            leaves_in: None,
            written: Cursor::default(),
        }
    }

    /// Sets how it answers from now on.
    pub fn set(&self, habit: Habit) {
        self.shared.habit.store(habit.number(), Ordering::Relaxed);
    }

    /// Sets what it says of itself from now on.
    pub fn say(&self, notice: Notice) {
        *self.shared.notice() = notice;
    }

    /// Returns what it says of itself.
    pub fn says(&self) -> Notice {
        *self.shared.notice()
    }

    /// Lets it stand still for a while: connections stay open, others are accepted, and it sends nothing.
    pub fn pause(&self, span: Duration) {
        let mut until = self.shared.paused_until();
        *until = (*until).max(Instant::now() + span);
    }

    /// Sets whether its answers have neither a length nor chunks.
    pub fn set_unframed(&self, is_unframed: bool) {
        self.shared.is_unframed.store(is_unframed, Ordering::Relaxed);
    }

    /// Sets the time without a request after which it closes a connection; `None` for ever.
    pub fn set_idle(&self, idle: Option<Duration>) {
        *self.shared.idle.lock().unwrap_or_else(PoisonError::into_inner) = idle;
    }

    /// Ends its process with all that it has under way; another process has its address and its name at once.
    ///
    /// # Errors
    ///
    /// Returns what the system says when no port is free.
    pub fn restart(&self) -> io::Result<()> {
        let accepted = self.shared.end_streams();
        self.proxy.end_process(&accepted)
    }

    /// Returns whether it ended by itself, with a request that crashed it.
    pub fn has_crashed(&self) -> bool {
        self.shared.is_gone.load(Ordering::Relaxed)
    }

    /// Ends it at once, with all that it has under way.
    pub fn crash(&self) {
        self.shared.end(&self.proxy);
        // The listener ends with the next connection.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn streams(&self) -> MutexGuard<'_, BTreeMap<u16, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notice(&self) -> MutexGuard<'_, Notice> {
        self.notice.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn paused_until(&self) -> MutexGuard<'_, Instant> {
        self.paused_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the end of a pause.
    fn stand_still(&self) {
        loop {
            let left = self.paused_until().saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left);
        }
    }

    /// Sends bytes once no pause is under way.
    fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        self.stand_still();
        stream.write_all(bytes)
    }

    /// Ends all connections, and takes no further ones.
    fn end(&self, proxy: &Proxy) {
        self.is_gone.store(true, Ordering::Relaxed);
        proxy.close();
        self.end_streams();
    }

    /// Ends all connections that it has accepted; returns the ports at their other sides.
    fn end_streams(&self) -> BTreeSet<u16> {
        let streams = mem::take(&mut *self.streams());
        for stream in streams.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        streams.into_keys().collect()
    }

    /// Returns whether an answer has no framing. One that breaks off alone, or comes twice, could not be told from a whole one.
    fn is_unframed(&self, habit: Habit) -> bool {
        !matches!(habit, Habit::Breaks | Habit::Repeats) && self.is_unframed.load(Ordering::Relaxed)
    }

    /// Ends a connection whose answer has no other end.
    fn end_answer(&self, stream: &TcpStream) -> io::Result<()> {
        self.stand_still();
        stream.shutdown(Shutdown::Write)?;
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Ends with a request, in one of two cases after the head of its answer.
    fn crash_with(&self, stream: &mut TcpStream, id: &str, said: Notice) -> io::Result<()> {
        if id.ends_with(['0', '2', '4', '6', '8']) {
            self.send(
                stream,
                self.head("200 OK", id, said, "content-length: 100\r\n").as_bytes(),
            )?;
        }
        if let Some(proxy) = self.proxy.get() {
            self.end(proxy);
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Serves a connection, and keeps it meanwhile, so that a crash can end it.
    fn keep(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let port = stream.peer_addr()?.port();
        self.streams().insert(port, stream.try_clone()?);
        let served = self.serve(stream);
        self.streams().remove(&port);
        served
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        loop {
            stream.set_read_timeout(*self.idle.lock().unwrap_or_else(PoisonError::into_inner))?;
            let Some(call) = Call::read(&mut stream)? else {
                return Ok(());
            };
            if call.request_line.contains(HEALTH) {
                let own = format!("{}: {}\r\ncontent-length: 0\r\n", self.dialect.incarnation, self.id);
                self.send(&mut stream, format!("HTTP/1.1 200 OK\r\n{own}\r\n").as_bytes())?;
                continue;
            }
            let habit = Habit::of(self.habit.load(Ordering::Relaxed));
            let id: SmolStr = call.header(self.dialect.request.as_str()).unwrap_or_default().into();
            let is_meant = call.header(self.dialect.expected.as_str()) == Some(self.id.as_str());
            let said = *self.notice();
            let refuses = habit == Habit::Refuses || matches!(said, Notice::Pause(_)) || !self.has_room(said);
            let runs = is_meant && !refuses;
            let _run = runs.then(|| Run::begin(&self.running));
            self.note(&call, id.clone(), runs, said);
            if !runs {
                let status = if is_meant { "503 Full" } else { "421 Another" };
                let not_run = format!("{}: 1\r\ncontent-length: 0\r\n", self.dialect.not_run);
                self.send(&mut stream, self.head(status, &id, said, &not_run).as_bytes())?;
                continue;
            }
            if let Some(engine) = &self.engine {
                let size = call.header(self.dialect.size.as_str()).unwrap_or_default();
                let tokens = size.split(',').next().and_then(|text| text.parse().ok());
                // The connection of a caller that has left is closed.
                if !engine.read(tokens.unwrap_or(0), || is_open(&stream), || self.stand_still()) {
                    return Ok(());
                }
                self.stream(&mut stream, &call, &id, said, habit)?;
                continue;
            }
            self.stand_still();
            thread::sleep(WORK);
            let prompt = call.header(self.dialect.prompt.as_str()).unwrap_or_default();
            if call.request_line.contains(Kind::Crash.prefix()) || prompt.contains(CRASHING_PART) {
                return self.crash_with(&mut stream, &id, said);
            }
            if Habit::FAILING.contains(&habit) {
                self.fail(&mut stream, &id, said, habit)?;
                continue;
            }
            if [Kind::Draft, Kind::Schedule]
                .iter()
                .any(|kind| call.request_line.contains(kind.prefix()))
            {
                self.stream(&mut stream, &call, &id, said, habit)?;
            } else {
                self.whole(&mut stream, &id, said, habit)?;
            }
        }
    }

    /// Fails a request that it has run.
    fn fail(&self, stream: &mut TcpStream, id: &str, said: Notice, habit: Habit) -> io::Result<()> {
        if habit == Habit::Fails {
            let head = self.head("503 Failed", id, said, "content-length: 0\r\n");
            return self.send(stream, head.as_bytes());
        }
        let head = self.head("200 OK", id, said, "content-length: 100\r\n");
        self.send(stream, &head.as_bytes()[..head.len() / 2])?;
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    fn has_room(&self, said: Notice) -> bool {
        !matches!(said, Notice::Tolerates(_)) || self.running.load(Ordering::Relaxed) < SCARCE_ROOM
    }

    fn note(&self, call: &Call, id: SmolStr, ran: bool, said: Notice) {
        let organisation = call.header(self.dialect.organisation.as_str());
        let at = self.ledger.now();
        self.ledger.book().arrivals.push(Arrival {
            id,
            endpoint: self.id.clone(),
            service: self.service,
            organisation: organisation.map(SmolStr::new),
            has_key: call.header("authorization").is_some(),
            ran,
            said,
            at,
        });
    }

    fn head(&self, status: &str, id: &str, said: Notice, extra: &str) -> String {
        let said = said.lines(&self.dialect);
        let Dialect {
            request, seal, load, ..
        } = &self.dialect;
        let loaded = self.engine.as_ref().map_or_else(String::new, |engine| {
            format!("{load}: {}\r\n", engine.load(self.running.load(Ordering::Relaxed)))
        });
        format!(
            "HTTP/1.1 {status}\r\n{request}: {id}\r\n{seal}: {}.{id}\r\n{loaded}{said}{extra}\r\n",
            self.id
        )
    }

    fn whole(&self, stream: &mut TcpStream, id: &str, said: Notice, habit: Habit) -> io::Result<()> {
        let body = body(id);
        let is_unframed = self.is_unframed(habit);
        let length = if is_unframed {
            "connection: close\r\n".to_owned()
        } else {
            format!("content-length: {}\r\n", body.len())
        };
        let answer = self.head("200 OK", id, said, &length) + &body;
        match habit {
            Habit::Breaks => {
                self.send(stream, &answer.as_bytes()[..answer.len() - body.len() / 2])?;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            Habit::Repeats => self.send(stream, answer.repeat(2).as_bytes()),
            Habit::Stalls => {
                thread::sleep(Duration::from_secs(2));
                self.send(stream, answer.as_bytes())
            }
            Habit::Sound | Habit::Refuses | Habit::Fails | Habit::Stops => self.send(stream, answer.as_bytes()),
        }?;
        if is_unframed { self.end_answer(stream) } else { Ok(()) }
    }

    fn stream(&self, stream: &mut TcpStream, call: &Call, id: &str, said: Notice, habit: Habit) -> io::Result<()> {
        let last = call.header(LAST_EVENT.as_str()).and_then(|text| text.parse().ok());
        let is_unframed = self.is_unframed(habit);
        let framing = if is_unframed {
            "content-type: text/event-stream\r\nconnection: close\r\n"
        } else {
            "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
        };
        self.send(stream, self.head("200 OK", id, said, framing).as_bytes())?;
        let (kind, work) = if call.request_line.contains(Kind::Schedule.prefix()) {
            (Kind::Schedule, SCHEDULE_WORK)
        } else {
            (Kind::Draft, WORK)
        };
        let step = || self.engine.as_ref().map_or(work, |engine| engine.time(work));
        for number in last.unwrap_or(0) + 1..=kind.events() {
            let event = event(id, number, &self.version);
            let chunk = if is_unframed {
                event
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            if number == kind.events() / 2 && habit == Habit::Breaks {
                self.send(stream, &chunk.as_bytes()[..chunk.len() / 2])?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if number == kind.events() / 2 && habit == Habit::Stalls {
                thread::sleep(Duration::from_secs(2));
            }
            self.send(stream, chunk.as_bytes())?;
            thread::sleep(step());
        }
        if is_unframed {
            return self.end_answer(stream);
        }
        self.send(stream, b"0\r\n\r\n")
    }
}
