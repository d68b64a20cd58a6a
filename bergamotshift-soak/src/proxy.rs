//! A proxy on the loopback device that delays, silences, cuts one way and resets what goes through it.

use core::mem;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use bergamotshift_standin::port::Reservation;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

use crate::owner;

/// Number of connections that wait to be accepted.
const BACKLOG: i32 = 4_096;

/// Which bytes a proxy holds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Those towards the target.
    Forth,
    /// Those of the target.
    Back,
    /// All.
    Both,
}

/// What a proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on later.
    Delay(Duration),
    /// Keeps them until another mode comes, as a partition does whose packets are sent again when it heals.
    Hold(Way),
}

/// How a process is cut off from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Its connections hang, and new ones too.
    Hang,
    /// Its connections are reset, and new ones too.
    Reset,
    /// Its connections live on, and new ones are reset.
    RefuseNew,
}

impl Cut {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Hang, Self::Reset, Self::RefuseNew];
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    mode: Mode,
    /// Processes that are cut off.
    cuts: BTreeMap<u32, Cut>,
    /// Connections of processes that are cut off.
    owners: BTreeMap<u64, u32>,
    /// Both ends of each connection that stands.
    streams: BTreeMap<u64, [TcpStream; 2]>,
    opened: u64,
    /// Ends of the target's process.
    ends: u64,
    /// Port of the connection behind all those that were opened before the end that is under way.
    marker: Option<u16>,
    is_closed: bool,
}

impl State {
    fn new(target: SocketAddr) -> Self {
        Self {
            target,
            mode: Mode::Pass,
            cuts: BTreeMap::new(),
            owners: BTreeMap::new(),
            streams: BTreeMap::new(),
            opened: 0,
            ends: 0,
            marker: None,
            is_closed: false,
        }
    }

    /// Returns whether a connection's process is cut off so that it hangs.
    fn hangs(&self, place: u64) -> bool {
        let owner = self.owners.get(&place);
        owner.is_some_and(|owner| self.cuts.get(owner) == Some(&Cut::Hang))
    }
}

#[derive(Debug)]
struct Link {
    state: Mutex<State>,
    changed: Condvar,
}

impl Link {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends a process of the target if a connection marks that; returns whether it does, and how many ended before.
    fn admit(&self, near: &TcpStream) -> (bool, u64) {
        let mut state = self.state();
        let port = near.peer_addr().ok().map(|peer| peer.port());
        let is_marker = port.is_some() && state.marker == port;
        if is_marker {
            state.ends += 1;
            state.marker = None;
            self.changed.notify_all();
        }
        (is_marker, state.ends)
    }

    /// Keeps both ends of a connection, to reset them; returns their place, or `None` if its process has ended since.
    fn keep(&self, ends: [TcpStream; 2], process: u64) -> Option<u64> {
        let mut state = self.state();
        if state.ends != process {
            ends.iter().for_each(reset);
            return None;
        }
        state.opened += 1;
        let place = state.opened;
        state.streams.insert(place, ends);
        Some(place)
    }

    /// Waits until bytes of one way of a connection may pass.
    fn pass(&self, way: Way, place: u64) {
        let held = |state: &mut State| {
            let is_held = matches!(state.mode, Mode::Hold(held) if held == way || held == Way::Both);
            is_held || state.hangs(place)
        };
        let state = self.changed.wait_while(self.state(), held);
        let mode = state.unwrap_or_else(PoisonError::into_inner).mode;
        if let Mode::Delay(span) = mode {
            thread::sleep(span);
        }
    }
}

/// A proxy to one target; ends with the process, and its port stays reserved until then.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    link: Arc<Link>,
}

impl Proxy {
    /// Starts a proxy to a target.
    ///
    /// # Errors
    ///
    /// Returns what the system says when no port is free.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let reservation = Reservation::any()?;
        let listener = reservation.listen(BACKLOG)?;
        let address = reservation.address;
        let link = Arc::new(Link {
            state: Mutex::new(State::new(target)),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&link);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if served.state().is_closed {
                    break;
                }
                let (is_marker, process) = served.admit(&near);
                if is_marker {
                    continue;
                }
                let link = Arc::clone(&served);
                // A connection that breaks concerns its two ends alone.
                thread::spawn(move || drop(carry(&link, &near, process)));
            }
        });
        Ok(Self { address, link })
    }

    /// Sets what becomes of bytes from now on.
    pub fn set(&self, mode: Mode) {
        self.link.state().mode = mode;
        self.link.changed.notify_all();
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.link.state().target = target;
    }

    /// Cuts a process off from the target, or connects it again.
    pub fn set_cut(&self, process: u32, cut: Option<Cut>) {
        if let Some(cut) = cut {
            self.link.state().cuts.insert(process, cut);
        }
        let ports = cut.map(|_| owner::ports(process)).unwrap_or_default();
        let mut state = self.link.state();
        if let Some(cut) = cut {
            let is_own = |[near, _]: &[TcpStream; 2]| near.peer_addr().is_ok_and(|peer| ports.contains(&peer.port()));
            let own = state.streams.iter().filter(|(_, ends)| is_own(ends));
            let own: Vec<u64> = own.map(|(place, _)| *place).collect();
            for place in own {
                state.owners.insert(place, process);
                if let Some(ends) = state.streams.get(&place).filter(|_| cut == Cut::Reset) {
                    ends.iter().for_each(reset);
                }
            }
        } else {
            state.cuts.remove(&process);
            state.owners.retain(|_, owner| *owner != process);
        }
        drop(state);
        self.link.changed.notify_all();
    }

    /// Resets all connections that were opened before and that the target had not accepted, as the system does when a process
    /// ends; those of `accepted` ports of the proxy end with their other sides.
    ///
    /// # Errors
    ///
    /// Returns what the system says when no port is free.
    pub fn end_process(&self, accepted: &BTreeSet<u16>) -> io::Result<()> {
        // Connections are accepted in the order in which they were opened.
        let marker = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        marker.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let port = marker.local_addr()?.as_socket().map(|address| address.port());
        self.link.state().marker = port;
        marker.connect(&self.address.into())?;
        let is_under_way = |state: &mut State| state.marker == port && !state.is_closed;
        let state = self.link.changed.wait_while(self.link.state(), is_under_way);
        let state = state.unwrap_or_else(PoisonError::into_inner);
        let waits = |far: &TcpStream| far.local_addr().is_ok_and(|near| !accepted.contains(&near.port()));
        let waiting = state.streams.values().filter(|[_, far]| waits(far));
        waiting.flatten().for_each(reset);
        Ok(())
    }

    /// Resets all connections.
    pub fn reset(&self) {
        let streams = mem::take(&mut self.link.state().streams);
        streams.values().flatten().for_each(reset);
    }

    /// Resets all connections and takes no others.
    pub fn close(&self) {
        self.link.state().is_closed = true;
        self.set(Mode::Pass);
        self.reset();
        // The listener ends with the next connection.
        let _ = TcpStream::connect(self.address);
    }
}

/// Resets a connection; one that is gone needs no reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Waits until a new connection may go on; returns false if it was reset.
fn admit(link: &Link, near: &TcpStream) -> io::Result<bool> {
    let port = near.peer_addr()?.port();
    let cuts = link.state().cuts.clone();
    // Reading the system's table takes milliseconds, in which other connections go on.
    let owner = cuts
        .into_iter()
        .find(|(process, _)| owner::ports(*process).contains(&port));
    let Some((process, cut)) = owner else {
        return Ok(true);
    };
    if cut != Cut::Hang {
        reset(near);
        return Ok(false);
    }
    let hangs = |state: &mut State| state.cuts.get(&process) == Some(&Cut::Hang) && !state.is_closed;
    drop(link.changed.wait_while(link.state(), hangs));
    Ok(true)
}

fn carry(link: &Arc<Link>, near: &TcpStream, process: u64) -> io::Result<()> {
    if !admit(link, near)? {
        return Ok(());
    }
    let target = link.state().target;
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let Some(place) = link.keep([near.try_clone()?, far.try_clone()?], process) else {
        return Ok(());
    };
    let (from, to) = (far.try_clone()?, near.try_clone()?);
    let back = {
        let link = Arc::clone(link);
        thread::spawn(move || copy(&link, place, Way::Back, from, to))
    };
    copy(link, place, Way::Forth, near.try_clone()?, far);
    // The other way ends with its own connection; a panic there was printed.
    let _ = back.join();
    link.state().streams.remove(&place);
    Ok(())
}

/// Copies until one side ends; a half that ends tells the other so.
fn copy(link: &Link, place: u64, way: Way, mut from: TcpStream, mut to: TcpStream) {
    let mut piece = [0; 8 * 1024];
    loop {
        let length = from.read(&mut piece).unwrap_or(0);
        link.pass(way, place);
        if length == 0 || to.write_all(&piece[..length]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
