//! Link between the daemons and one worker, which may lose packets.
//!
//! A lost packet arrives when it has been sent again: after the smallest timeout that TCP waits for.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::Duration;

/// Time after which a lost packet is sent again.
const RETRANSMISSION: Duration = Duration::from_millis(205);

/// State of a link.
#[derive(Debug)]
struct State {
    /// Packets lost of a thousand.
    lost: AtomicU32,
    random: AtomicU64,
    is_closed: AtomicBool,
    /// Number of packets that were lost.
    count: AtomicU64,
}

impl State {
    /// Waits as long as a packet is late.
    fn pass(&self) {
        // A generator of Marsaglia; all threads of the link advance it.
        let next = |mut x: u64| {
            x ^= x << 13;
            x ^= x >> 7;
            x ^ (x << 17)
        };
        let drawn = next(self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Relaxed) | 1);
        if drawn % 1_000 < u64::from(self.lost.load(Relaxed)) {
            self.count.fetch_add(1, Relaxed);
            thread::sleep(RETRANSMISSION);
        }
    }
}

/// Link to a worker.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address at which daemons reach the worker.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Proxy {
    /// Opens a link to a worker's port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn open(port: u16, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            lost: AtomicU32::new(0),
            random: AtomicU64::new(seed.wrapping_mul(0x2545_f491_4f6c_dd1d)),
            is_closed: AtomicBool::new(false),
            count: AtomicU64::new(0),
        });
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if shared.is_closed.load(Relaxed) {
                    return;
                }
                let Ok(far) = TcpStream::connect(("127.0.0.1", port)) else {
                    return;
                };
                let shared = Arc::clone(&shared);
                // A connection that breaks concerns its two ends alone.
                thread::spawn(move || drop(carry(&shared, &near, &far)));
            }
        });
        Ok(Self { address, state })
    }

    /// Sets how many packets of a thousand are lost.
    pub fn lose(&self, lost: u32) {
        self.state.lost.store(lost, Relaxed);
    }

    /// Returns how many packets were lost.
    pub fn lost(&self) -> u64 {
        self.state.count.load(Relaxed)
    }

    /// Accepts no more connections, as the worker has ended.
    pub fn close(&self) {
        self.state.is_closed.store(true, Relaxed);
        // Wakes the listener; it may have ended.
        drop(TcpStream::connect(self.address));
    }
}

fn carry(state: &Arc<State>, near: &TcpStream, far: &TcpStream) -> io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (from, to, shared) = (far.try_clone()?, near.try_clone()?, Arc::clone(state));
    thread::spawn(move || copy(&shared, &from, &to));
    copy(state, near, far);
    Ok(())
}

/// Copies bytes until the source ends, and passes its end on.
fn copy(state: &State, mut from: &TcpStream, mut to: &TcpStream) {
    let mut bytes = [0; 8 * 1024];
    loop {
        let length = from.read(&mut bytes).unwrap_or(0);
        state.pass();
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            // The other side may have ended too.
            drop(to.shutdown(Shutdown::Write));
            return;
        }
    }
}
