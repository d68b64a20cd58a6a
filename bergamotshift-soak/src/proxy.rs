//! A proxy on the loopback device that delays, silences, cuts one way and resets what goes through it.

use core::mem;
use core::time::Duration;
use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use socket2::SockRef;

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

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    /// Both ends of each connection that stands.
    streams: BTreeMap<u64, [TcpStream; 2]>,
    opened: u64,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Link {
    state: Mutex<State>,
    changed: Condvar,
}

impl Link {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps both ends of a connection, to reset them; returns their place.
    fn keep(&self, ends: [TcpStream; 2]) -> u64 {
        let mut state = self.state();
        state.opened += 1;
        let place = state.opened;
        state.streams.insert(place, ends);
        place
    }

    /// Waits until bytes of one way may pass.
    fn pass(&self, way: Way) {
        let held = |state: &mut State| matches!(state.mode, Mode::Hold(held) if held == way || held == Way::Both);
        let state = self.changed.wait_while(self.state(), held);
        let mode = state.unwrap_or_else(PoisonError::into_inner).mode;
        if let Mode::Delay(span) = mode {
            thread::sleep(span);
        }
    }
}

/// A proxy to one target; ends with the process.
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
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link::default());
        let served = Arc::clone(&link);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if served.state().is_closed {
                    return;
                }
                let link = Arc::clone(&served);
                // A connection that breaks concerns its two ends alone.
                thread::spawn(move || drop(carry(&link, &near, target)));
            }
        });
        Ok(Self { address, link })
    }

    /// Sets what becomes of bytes from now on.
    pub fn set(&self, mode: Mode) {
        self.link.state().mode = mode;
        self.link.changed.notify_all();
    }

    /// Resets all connections.
    pub fn reset(&self) {
        let streams = mem::take(&mut self.link.state().streams);
        for stream in streams.values().flatten() {
            // One that is gone needs no reset.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
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

fn carry(link: &Arc<Link>, near: &TcpStream, target: SocketAddr) -> io::Result<()> {
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let place = link.keep([near.try_clone()?, far.try_clone()?]);
    let (from, to) = (far.try_clone()?, near.try_clone()?);
    let back = {
        let link = Arc::clone(link);
        thread::spawn(move || copy(&link, Way::Back, from, to))
    };
    copy(link, Way::Forth, near.try_clone()?, far);
    // The other way ends with its own connection; a panic there was printed.
    let _ = back.join();
    link.state().streams.remove(&place);
    Ok(())
}

/// Copies until one side ends; a half that ends tells the other so.
fn copy(link: &Link, way: Way, mut from: TcpStream, mut to: TcpStream) {
    let mut piece = [0; 8 * 1024];
    loop {
        let length = from.read(&mut piece).unwrap_or(0);
        link.pass(way);
        if length == 0 || to.write_all(&piece[..length]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
