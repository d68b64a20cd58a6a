//! Model engines: endpoints that read prompts one after the other, at a pace that they state.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io;
use std::net::TcpStream;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use crate::endpoint::SLOTS;

/// Prompt tokens that an engine reads in a millisecond at the usual pace.
const TOKENS_PER_MS: u64 = 20;

/// Prompt tokens that an engine reads before a change of its pace takes effect.
const PIECE: u64 = 500;

/// The pace of a slow engine, in percent of its usual one.
const SLOW: u32 = 250;

/// Usual paces of the engines of a service, in percent: a quarter of them is twice as fast.
pub const PACES: [u32; 4] = [100, 50, 100, 100];

/// What an endpoint needs to be a model engine.
#[derive(Debug)]
pub struct Engine {
    /// The usual pace, in percent: the time that work takes, so that less is faster.
    pub usual: u32,
    is_slow: AtomicBool,
    queue: Mutex<Queue>,
    changed: Condvar,
}

/// Prompts in the order in which they came.
#[derive(Debug, Default)]
struct Queue {
    joined: u64,
    left: u64,
}

impl Engine {
    /// Creates an engine with its usual pace in percent.
    pub fn new(usual: u32) -> Self {
        Self {
            usual,
            is_slow: AtomicBool::new(false),
            queue: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Sets whether it is slower than usual.
    pub fn set_slow(&self, is_slow: bool) {
        self.is_slow.store(is_slow, Ordering::Relaxed);
    }

    /// Returns the time that work currently takes, in percent of the usual time of the service.
    pub fn pace(&self) -> u32 {
        let slow = if self.is_slow.load(Ordering::Relaxed) {
            SLOW
        } else {
            100
        };
        self.usual * slow / 100
    }

    /// Returns how long work takes at the current pace.
    pub fn time(&self, usual: Duration) -> Duration {
        usual * self.pace() / 100
    }

    /// Returns the value of its load header while it has so many requests.
    pub fn load(&self, requests: usize) -> String {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        let waiting = requests.saturating_sub(SLOTS);
        format!("{},{waiting},{SLOTS},{}", requests - waiting, self.pace())
    }

    /// Reads a prompt after those that came before it. Leaves it out if it is no longer wanted when its turn comes, and
    /// returns whether it read it. `stand_still` waits while the engine pauses.
    pub fn read(&self, tokens: u64, is_wanted: impl FnOnce() -> bool, stand_still: impl Fn()) -> bool {
        let mut queue = self.queue();
        let place = queue.joined;
        queue.joined += 1;
        drop(self.changed.wait_while(queue, |queue| queue.left != place));
        let is_wanted = is_wanted();
        let mut unread = if is_wanted { tokens } else { 0 };
        while unread > 0 {
            let piece = unread.min(PIECE);
            thread::sleep(self.time(Duration::from_micros(piece * 1_000 / TOKENS_PER_MS)));
            stand_still();
            unread -= piece;
        }
        self.queue().left += 1;
        self.changed.notify_all();
        is_wanted
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the other side of a connection still waits.
pub(crate) fn is_open(stream: &TcpStream) -> bool {
    let peek = || {
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        peeked
    };
    match peek() {
        Ok(length) => length > 0,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}
