//! The state of a host that its handle and its threads share.

use core::fmt;
use core::net::Ipv4Addr;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;

use bergamotshift_core::vm::Incarnation;
use smol_str::SmolStr;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::sync::watch;

use super::connection;
use super::exchange::Site;
use super::pool;
use crate::fault::Board;
use crate::fault::Fault;
use crate::fault::Plan;

const BACKLOG: i32 = 1024;

/// Whether the host listens, and as which incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Up(Incarnation),
    Down,
    Stopped,
}

/// What a host's handle and threads share.
pub(crate) struct Control {
    me: Weak<Self>,
    address: SocketAddr,
    /// The listening socket; while the host is down, a shut one that keeps the port.
    socket: Mutex<Socket>,
    phase: watch::Sender<Phase>,
    /// Held while the phase changes and while a call begins its work.
    life: Mutex<()>,
    paused: watch::Sender<bool>,
    calls: watch::Sender<u64>,
    state: Mutex<State>,
    on_death: Box<dyn Fn() + Send + Sync>,
}

#[derive(Debug, Default)]
struct State {
    incarnation: Incarnation,
    board: Board,
    counts: BTreeMap<SmolStr, u64>,
    connections: BTreeMap<u64, TcpStream>,
    next_connection: u64,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Control {
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.state().incarnation
    }

    pub(crate) fn counts(&self) -> BTreeMap<SmolStr, u64> {
        self.state().counts.clone()
    }

    /// Adds to a count.
    pub(crate) fn add(&self, kind: &str, units: u64) {
        *self.state().counts.entry(SmolStr::new(kind)).or_default() += units;
    }

    /// Counts a call.
    pub(crate) fn count(&self, kind: &str) {
        self.add(kind, 1);
        self.calls.send_modify(|calls| *calls += 1);
    }

    /// Returns once so many calls came in.
    pub(crate) async fn called(&self, total: u64) {
        drop(self.calls.subscribe().wait_for(|calls| *calls >= total).await);
    }

    pub(crate) fn draw(&self, body: &[u8], stream: bool) -> Plan {
        self.state().board.draw(body, stream)
    }

    /// Returns once the host is not paused.
    pub(crate) async fn unpaused(&self) {
        // The sender lives in `self`, so the wait cannot fail.
        drop(self.paused.subscribe().wait_for(|paused| !paused).await);
    }

    pub(crate) fn fault(&self, fault: &Fault) {
        match fault {
            Fault::Down => self.down(),
            Fault::DownFor { ms } => self.down_for(Duration::from_millis(*ms)),
            Fault::Up => self.up(),
            Fault::Pause => drop(self.paused.send_replace(true)),
            Fault::Resume => drop(self.paused.send_replace(false)),
            Fault::Clear => {
                self.state().board.set(fault);
                self.paused.send_replace(false);
            }
            other => self.state().board.set(other),
        }
    }

    /// Returns once the host listens as this incarnation or a later one.
    pub(crate) async fn up_as(&self, incarnation: Incarnation) {
        let up = |phase: &Phase| matches!(phase, Phase::Up(current) if *current >= incarnation);
        drop(self.phase.subscribe().wait_for(up).await);
    }

    pub(super) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Returns a second handle of the listening socket.
    pub(super) fn listener(&self) -> io::Result<std::net::TcpListener> {
        Ok(self.socket().try_clone()?.into())
    }

    /// Remembers a connection, so that it can be cut; `None` when it came too late and was cut already.
    ///
    /// Without the check a connection accepted just before the host went down, and remembered just after, would go on
    /// being served by a host that is down, or by its next incarnation, which would leave its calls without an answer.
    pub(super) fn opened(&self, stream: TcpStream, incarnation: Incarnation) -> Option<u64> {
        let mut state = self.state();
        if !self.is_alive(incarnation) {
            connection::cut(&stream);
            return None;
        }
        state.next_connection += 1;
        let id = state.next_connection;
        state.connections.insert(id, stream);
        Some(id)
    }

    pub(super) fn closed(&self, id: u64) {
        self.state().connections.remove(&id);
    }

    pub(super) fn stop(&self) {
        self.down();
        self.phase.send_replace(Phase::Stopped);
    }

    fn down(&self) {
        if !self.leave_life() {
            return;
        }
        // A shut listening socket refuses connections at once and keeps its port, so nothing else can take it.
        drop(self.socket().shutdown(std::net::Shutdown::Both));
        // Before the cut, so that whoever sees a cut connection finds its run dead in the ledger already.
        (self.on_death)();
        let connections = core::mem::take(&mut self.state().connections);
        for stream in connections.values() {
            connection::cut(stream);
        }
        // Again, for a call that came in between.
        (self.on_death)();
    }

    /// Begins a call's work, unless the incarnation that it came to is dead.
    ///
    /// A call that was read before its endpoint died would otherwise begin afterwards, and show up in the ledger as a
    /// run of an endpoint that its caller knows to be dead, or of the next incarnation.
    pub(super) fn while_alive<T>(&self, incarnation: Incarnation, begin: impl FnOnce() -> T) -> Option<T> {
        let _life = self.life();
        self.is_alive(incarnation).then(begin)
    }

    /// Returns whether the host is up as this incarnation.
    pub(super) fn is_alive(&self, incarnation: Incarnation) -> bool {
        *self.phase.borrow() == Phase::Up(incarnation)
    }

    /// Changes the phase from up to down; returns false when it was not up.
    fn leave_life(&self) -> bool {
        let _life = self.life();
        let up = matches!(*self.phase.borrow(), Phase::Up(_));
        if up {
            self.phase.send_replace(Phase::Down);
        }
        up
    }

    fn down_for(&self, time: Duration) {
        self.down();
        let control = Weak::clone(&self.me);
        pool::run(move || {
            ntex::rt::spawn(async move {
                tokio::time::sleep(time).await;
                if let Some(control) = control.upgrade() {
                    control.up();
                }
            });
        });
    }

    fn up(&self) {
        if *self.phase.borrow() != Phase::Down {
            return;
        }
        let socket = listen(self.address).expect("the shut socket still keeps the port");
        *self.socket() = socket;
        let incarnation = {
            let mut state = self.state();
            state.incarnation = state.incarnation.next();
            state.incarnation
        };
        self.phase.send_replace(Phase::Up(incarnation));
    }

    fn life(&self) -> MutexGuard<'_, ()> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn socket(&self) -> MutexGuard<'_, Socket> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds a socket to an address.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    // Without it, a restart fails while connections that were cut, or the shut socket itself, still hold the port.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Listens at an address.
fn listen(address: SocketAddr) -> io::Result<Socket> {
    let socket = bind(address)?;
    socket.listen(BACKLOG)?;
    Ok(socket)
}

/// Listens at a free loopback port, and keeps it also while the listening socket is shut.
///
/// Failure: the system takes a port that it chose itself back when the listening socket is shut, and gives it to the
/// next program that asks for any. Symptom: a dead host's callers reach a stranger there. A port that was asked for by
/// its number stays with the socket until that is closed; both sockets hold it in between, so nobody else can get it.
fn listen_anywhere() -> io::Result<(Socket, SocketAddr)> {
    let chosen = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = chosen
        .local_addr()?
        .as_socket()
        .ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok((listen(address)?, address))
}

/// A running host; dropping it stops it.
#[derive(Debug)]
pub(crate) struct Host {
    control: Arc<Control>,
}

impl Host {
    /// Binds an ephemeral loopback port and serves `site` there.
    ///
    /// `on_death` is called each time the host goes down.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket calls.
    pub(crate) fn start(site: Arc<dyn Site>, on_death: impl Fn() + Send + Sync + 'static) -> io::Result<Self> {
        let (socket, address) = listen_anywhere()?;
        let control = Arc::new_cyclic(|me| Control {
            me: Weak::clone(me),
            address,
            socket: Mutex::new(socket),
            phase: watch::Sender::new(Phase::Up(Incarnation::default())),
            life: Mutex::default(),
            paused: watch::Sender::new(false),
            calls: watch::Sender::new(0),
            state: Mutex::default(),
            on_death: Box::new(on_death),
        });
        let shared = Arc::clone(&control);
        pool::run(move || connection::serve(shared, site));
        Ok(Self { control })
    }

    pub(crate) fn control(&self) -> &Control {
        &self.control
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.control.stop();
    }
}
