//! Callers that keep their connections until the other side ends them.

mod demand;
mod wire;

use core::ops::Range;
use core::ops::RangeInclusive;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use bergamotshift_forward::dialect::Dialect;
use bergamotshift_forward::dialect::LAST_EVENT;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use smol_str::ToSmolStr;

use self::wire::chunked;
use self::wire::header;
use self::wire::line;
use self::wire::number;
use self::wire::sized;
use crate::answer;
use crate::fleet::Doors;
use crate::ledger::Exchange;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::ledger::Resumption;
use crate::site;
use crate::site::CRASHING_PART;
use crate::site::HOST;
use crate::site::Kind;
use crate::site::SERVICES;
use crate::site::SHARED_PART;
use crate::site::Tenant;

/// How long after its own time limit a caller still listens.
pub(crate) const BEYOND: Duration = Duration::from_secs(1);

/// The longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 40;

/// The pause between two requests of one kind, in milliseconds.
const SAME_KIND_PAUSE_MS: Range<u64> = 100..300;

/// How long a caller that asks for one kind tries to take a stream up.
const TRIES: Duration = Duration::from_secs(5);

/// The longest time until such a caller leaves a stream, if it does, in milliseconds.
const LEAVES_MS: [Option<u64>; 4] = [Some(200), Some(2_500), None, None];

/// The longest time until it takes one up, in milliseconds.
const TAKES_UP_MS: u64 = 2_000;

/// Which entry a connection goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Door {
    /// The entry.
    pub entry: usize,
    /// Which start of it.
    pub life: u32,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    seed: u64,
    number: u64,
    sent: u64,
    generator: Pcg64Mcg,
    dialect: Dialect,
    ledger: Arc<Ledger>,
    connection: Option<(Door, BufReader<TcpStream>)>,
    /// Whether nothing was sent on the connection yet.
    is_fresh: bool,
    /// Whether it takes up streams that broke off.
    takes_up: bool,
    /// After how long it leaves.
    leaves: Option<Duration>,
    /// The stream that broke off last.
    part: Option<Part>,
}

/// What is read of an answer.
#[derive(Debug, Default)]
struct Answer {
    status: u16,
    head: String,
    body: Vec<u8>,
}

/// The events that came of a stream.
#[derive(Clone, Debug)]
struct Part {
    /// The attempt that brought the first one.
    id: SmolStr,
    /// When that was sent.
    began: Duration,
    kind: Kind,
    tenant: Tenant,
    /// The number of the last one.
    last: u64,
    /// The version that wrote them.
    version: SmolStr,
}

impl Caller {
    /// Makes a caller; its number makes its requests its own.
    pub fn new(number: u64, seed: u64, ledger: Arc<Ledger>) -> Self {
        Self {
            seed,
            number,
            sent: 0,
            generator: Pcg64Mcg::new(u128::from(seed) << 64 | u128::from(number) << 1 | 1),
            dialect: bergamotshift_metadata::dialect(),
            ledger,
            connection: None,
            is_fresh: true,
            takes_up: false,
            leaves: None,
            part: None,
        }
    }

    /// Sets whether it takes up streams that broke off.
    #[must_use]
    pub const fn taking_up(mut self, takes_up: bool) -> Self {
        self.takes_up = takes_up;
        self
    }

    /// Sends requests until told to stop.
    pub fn run(mut self, doors: &Doors, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            if self.connection.is_none() {
                self.connection = self.connect(doors);
                self.is_fresh = true;
            }
            if self.connection.is_some() {
                let kind = Kind::ALL[self.below(Kind::ALL.len() as u64) as usize];
                let tenant = match self.below(20) {
                    0 => Tenant::Stranger,
                    1..=8 => Tenant::Limited,
                    _ => Tenant::Free,
                };
                self.ask(kind, tenant, None);
            }
            self.take_up(doors);
            self.part = None;
            thread::sleep(Duration::from_millis(self.below(PAUSE_MS)));
        }
    }

    /// Sends requests of a kind again and again, until told to stop.
    pub fn ask_repeatedly(mut self, kind: Kind, doors: &Doors, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            if let Some(door) = self.usual_door(doors) {
                let most = LEAVES_MS[self.below(LEAVES_MS.len() as u64) as usize];
                let leaves = most.map(|most| Duration::from_millis(1 + self.below(most)));
                self.leaves = leaves.filter(|_| self.takes_up);
                self.ask_at(door, kind, Tenant::Free);
                self.leaves = None;
            }
            let until = Instant::now() + TRIES;
            while self.part.is_some() && Instant::now() < until {
                let most = if self.below(2) == 0 { TAKES_UP_MS } else { PAUSE_MS };
                thread::sleep(Duration::from_millis(self.below(most)));
                self.take_up(doors);
            }
            self.part = None;
            thread::sleep(Duration::from_millis(
                SAME_KIND_PAUSE_MS.start + self.below(SAME_KIND_PAUSE_MS.end),
            ));
        }
    }

    /// Sends one request to one entry; returns how it ended.
    pub fn ask_at(&mut self, door: Door, kind: Kind, tenant: Tenant) -> Outcome {
        self.connection = open(door).ok();
        self.is_fresh = true;
        if self.connection.is_none() {
            return Outcome::Cut;
        }
        self.ask(kind, tenant, None)
    }

    /// Asks an entry for the rest of the stream that broke off, if one did.
    fn take_up(&mut self, doors: &Doors) {
        let Some(part) = self.part.take().filter(|_| self.takes_up) else {
            return;
        };
        if let Some(connection) = self.connect(doors) {
            self.connection = Some(connection);
            self.is_fresh = true;
            self.ask(part.kind, part.tenant, Some(&part));
        } else {
            self.part = Some(part);
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.generator.next_u64() % bound
    }

    fn connect(&mut self, doors: &Doors) -> Option<(Door, BufReader<TcpStream>)> {
        let door = self.door(doors)?;
        open(door).ok()
    }

    /// Draws an entry; a caller that takes streams up asks for new ones at the same one each time, as not all wait at one that
    /// stands still then.
    fn usual_door(&mut self, doors: &Doors) -> Option<Door> {
        let drawn = self.door(doors);
        let open_doors = doors.open();
        let usual = open_doors.get(self.number as usize % open_doors.len().max(1));
        if self.takes_up { usual.copied() } else { drawn }
    }

    /// Draws an entry that callers may go to.
    fn door(&mut self, doors: &Doors) -> Option<Door> {
        let open_doors = doors.open();
        if open_doors.is_empty() {
            return None;
        }
        let place = self.below(open_doors.len() as u64) as usize;
        Some(open_doors[place])
    }

    fn ask(&mut self, kind: Kind, tenant: Tenant, part: Option<&Part>) -> Outcome {
        let id = self.next_id();
        let text = self.request(&id, kind, tenant, part);
        self.exchange(&id, &text, kind, tenant, part).0
    }

    /// Returns the identifier of the next attempt.
    fn next_id(&mut self) -> SmolStr {
        self.sent += 1;
        site::request_id(self.seed, self.number, self.sent)
    }

    /// Sends an attempt; returns how it ended, and the head of the answer.
    fn exchange(
        &mut self,
        id: &SmolStr,
        text: &str,
        kind: Kind,
        tenant: Tenant,
        part: Option<&Part>,
    ) -> (Outcome, String) {
        let Some((door, mut stream)) = self.connection.take() else {
            return (Outcome::Cut, String::new());
        };
        let sent = self.ledger.now();
        let asked = stream.get_mut().write_all(text.as_bytes());
        let mut answer = Answer::default();
        let patience = self.leaves.unwrap_or(kind.patience() + BEYOND);
        let read = asked.and_then(|()| read(&mut stream, &mut answer, patience));
        let outcome = match &read {
            Ok(()) => self.judge(&answer, id, kind, part),
            Err(_) if !fits(&answer, id, kind, part) => {
                Outcome::Wrong(String::from_utf8_lossy(&answer.body).into_owned())
            }
            Err(error) => match failed(error) {
                Outcome::Silent if self.leaves.is_some() => Outcome::Left,
                outcome => outcome,
            },
        };
        if let Some(part) = part {
            let (id, version) = (id.clone(), part.version.clone());
            let (began, went_on) = (part.began, !whole_events(&answer).is_empty());
            let resumption = Resumption {
                id,
                service: self.service(kind),
                version,
                began,
                went_on,
            };
            self.ledger.book().resumptions.push(resumption);
        }
        if !matches!(outcome, Outcome::Answered(200) | Outcome::Wrong(_)) && kind.is_resumable() {
            self.part = match part {
                Some(part) => Some(part.after(&answer)),
                None => began(&answer, id, sent, kind, tenant),
            };
        }
        self.ledger.book().exchanges.push(Exchange {
            id: id.clone(),
            entry: door.entry,
            life: door.life,
            kind,
            tenant,
            is_first: core::mem::take(&mut self.is_fresh),
            sent,
            ended: self.ledger.now(),
            outcome: outcome.clone(),
        });
        let stays = read.is_ok() && header(&answer.head, "connection") != Some("close");
        if stays {
            self.connection = Some((door, stream));
        }
        (outcome, answer.head)
    }

    fn request(&self, id: &str, kind: Kind, tenant: Tenant, part: Option<&Part>) -> String {
        let Dialect {
            request,
            resumes,
            time_left,
            key_scheme,
            ..
        } = &self.dialect;
        let own = if kind == Kind::Crash { "" } else { id };
        let prefix = match kind {
            Kind::Schedule => site::schedule_prefix(self.service(kind)),
            _ => kind.prefix().into(),
        };
        let rest = part.map_or_else(String::new, |part| {
            format!("{LAST_EVENT}: {}\r\n{resumes}: {}\r\n", part.last, part.id)
        });
        format!(
            "POST {prefix}{own} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: {key_scheme} {}\r\n{request}: {id}\r\n\
             {time_left}: {}\r\n{rest}{}content-length: 2\r\n\r\n{{}}",
            tenant.key(),
            kind.patience().as_millis(),
            self.prompt(kind, tenant),
        )
    }

    /// Returns the service that it asks for streams.
    fn service(&self, kind: Kind) -> &'static str {
        let place = self.number as usize % SERVICES.len();
        SERVICES[if self.takes_up && kind == Kind::Schedule {
            place
        } else {
            0
        }]
    }

    /// Returns the header line with the parts of the prompt.
    fn prompt(&self, kind: Kind, tenant: Tenant) -> String {
        let shared = match (kind, tenant) {
            (Kind::Part, _) => format!("{SHARED_PART},{CRASHING_PART},"),
            (_, Tenant::Free) => format!("{SHARED_PART},"),
            _ => return String::new(),
        };
        format!("{}: {shared}{:x}:10\r\n", self.dialect.prompt, self.sent)
    }

    /// Returns whether an answer is whole and belongs to the request.
    fn judge(&self, answer: &Answer, id: &str, kind: Kind, part: Option<&Part>) -> Outcome {
        if answer.status != 200 {
            return Outcome::Answered(answer.status);
        }
        let request = self.dialect.request.as_str();
        let seal = header(&answer.head, self.dialect.seal.as_str()).unwrap_or_default();
        if header(&answer.head, request) != Some(id) || !seal.ends_with(&format!(".{id}")) {
            return Outcome::Wrong("it belongs to another request".to_owned());
        }
        let is_expected = match (kind, part) {
            (Kind::Draft | Kind::Generate | Kind::Schedule, _) => {
                let last = part.map_or(0, |part| part.last);
                let version = part.map_or_else(|| version(answer).unwrap_or_default(), |part| part.version.clone());
                answer.body == events(id, last + 1..=kind.events(), &version).as_bytes()
            }
            (Kind::Checkin | Kind::Confirm | Kind::Moving | Kind::Crash | Kind::Part, _) => {
                answer.body == answer::body(id).as_bytes()
            }
        };
        if is_expected {
            Outcome::Answered(200)
        } else {
            Outcome::Wrong(String::from_utf8_lossy(&answer.body).into_owned())
        }
    }
}

/// Returns events of a stream, as a version writes them.
fn events(id: &str, numbers: RangeInclusive<u64>, version: &str) -> String {
    numbers.map(|number| answer::event(id, number, version)).collect()
}

/// Returns the whole events that came of a stream.
fn whole_events(answer: &Answer) -> &str {
    let text = str::from_utf8(&answer.body).unwrap_or_default();
    let is_served = answer.status == 200;
    text.rfind("\n\n")
        .filter(|_| is_served)
        .map_or("", |end| &text[..end + 2])
}

fn count(events: &str) -> u64 {
    events.matches("\n\n").count() as u64
}

/// Returns the version that wrote the first event of a stream.
fn version(answer: &Answer) -> Option<SmolStr> {
    let (first, _) = whole_events(answer).split_once("\n\n")?;
    let (_, version) = first.rsplit_once(' ')?;
    let number = version.strip_prefix('v')?;
    number.parse::<u64>().ok().map(|_| version.into())
}

/// Returns whether the events that came of a stream that broke off are its first ones, or those after its part.
fn fits(answer: &Answer, id: &str, kind: Kind, part: Option<&Part>) -> bool {
    let events = whole_events(answer);
    let last = part.map_or(0, |part| part.last);
    let version = part.map_or_else(|| version(answer).unwrap_or_default(), |part| part.version.clone());
    !kind.is_resumable() || events == self::events(id, last + 1..=last + count(events), &version)
}

/// Returns what came of a stream that broke off; `None` if no event did.
fn began(answer: &Answer, id: &SmolStr, began: Duration, kind: Kind, tenant: Tenant) -> Option<Part> {
    Some(Part {
        id: id.clone(),
        began,
        kind,
        tenant,
        last: count(whole_events(answer)),
        version: version(answer)?,
    })
}

impl Part {
    /// Returns it with the events that came when it was taken up.
    fn after(&self, answer: &Answer) -> Self {
        Self {
            last: self.last + count(whole_events(answer)),
            ..self.clone()
        }
    }
}

/// Reads an answer; what came of its body stays in it if it breaks off.
fn read(stream: &mut BufReader<TcpStream>, answer: &mut Answer, patience: Duration) -> io::Result<()> {
    stream.get_mut().set_read_timeout(Some(patience))?;
    let until = Instant::now() + patience;
    let head = &mut answer.head;
    while !head.ends_with("\r\n\r\n") {
        if line(stream, head, until)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    answer.status = status.ok_or(io::ErrorKind::InvalidData)?;
    match header(head, "content-length") {
        Some(length) => answer.body = sized(stream, number(length, 10)?)?,
        None => chunked(stream, until, &mut answer.body)?,
    }
    Ok(())
}

fn open(door: Door) -> io::Result<(Door, BufReader<TcpStream>)> {
    let stream = TcpStream::connect_timeout(&door.address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok((door, BufReader::new(stream)))
}

fn failed(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::Silent,
        io::ErrorKind::InvalidData => Outcome::Wrong(error.to_string()),
        _ => Outcome::Cut,
    }
}

/// Returns whether an entry says that callers may come.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<SmolStr> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n")?;
        let mut text = String::new();
        BufReader::new(stream).read_line(&mut text)?;
        Ok(text.split(' ').nth(1).unwrap_or_default().to_smolstr())
    };
    ask().is_ok_and(|status| status == "200")
}
