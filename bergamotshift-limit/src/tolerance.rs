//! Sends to servers that fail when they reject too many requests within a second.
//!
//! A server announces how many rejections for want of room it tolerates per second from all clients together. Clients may
//! not hear each other, and know the server's load late. So each one keeps to a part of what may be sent by itself
//! (its part): while the server is less than half full, all together send no more than half of its slots and half of the
//! tolerated rejections within the time that news of it takes, and otherwise half of the tolerated rejections. After a
//! rejection a client sends nothing for longer than a second. Where a part is less than one request, clients take turns.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::throttle::RateLimit;
//! use bergamotshift_limit::tolerance::{Client, Room, Tolerance};
//!
//! let tolerance = Tolerance::default();
//! let now = Instant::from_secs(5);
//! tolerance.update(RateLimit::named(10.0, now));
//! tolerance.set_client(Client { rank: 0, count: 8, ..Client::default() });
//! let room = Room { running: 2, slots: 6 };
//! assert_eq!(tolerance.closed_until(now, room), None);
//! tolerance.begin(now, room);
//! assert!(tolerance.closed_until(now, room).is_some(), "one request has no answer yet");
//! tolerance.settle(now, true);
//! assert!(tolerance.closed_until(now, room).is_some(), "it was rejected");
//! ```

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU32;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;

use crate::throttle::RateLimit;

/// Time for which a client sends nothing after a rejection. It exceeds the second in which a server counts rejections by
/// the time that an answer may take.
pub const HOLD: Duration = Duration::from_millis(1_300);

/// Time of one turn. Clients send in its first part only, so that no second contains requests of two turns.
const TURN: Duration = Duration::from_secs(2);

/// Part of a turn in which its clients send.
const TURN_OPEN: Duration = Duration::from_millis(800);

/// Time until all clients know of a request that one of them sent.
const NEWS_DELAY: Duration = Duration::from_millis(400);

/// Time after which an announcement that is not repeated no longer holds.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(5);

/// Number of clients that is assumed until it is known.
const ASSUMED_CLIENTS: usize = 16;

/// Time after which a client looks again whether a request was answered, or a slot is free.
const RECHECK: Duration = Duration::from_millis(20);

/// Position of a client among all clients of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// Number of clients before it.
    pub rank: usize,
    /// Number of all clients.
    pub count: usize,
    /// Shift of the turns, which differs between servers and is the same for all clients.
    pub shift: u64,
    /// Time to add to the client's clock to get a time that is the same for all clients.
    pub clock_offset: Duration,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            rank: 0,
            count: ASSUMED_CLIENTS,
            shift: 0,
            clock_offset: Duration::ZERO,
        }
    }
}

/// Part of what may be sent to a server that one client may send.
#[derive(Clone, Copy, Debug)]
struct Part {
    tolerated: usize,
    client: Client,
}

impl Part {
    /// Returns the number of requests that all clients together may send without knowing of each other's.
    const fn total(self, room: Room) -> usize {
        // Clients may differ in what they know of the load, so that either half is used at the same time.
        let half = self.tolerated / 2;
        if room.is_half_full() {
            at_least_one(half)
        } else {
            at_least_one(half + room.slots as usize / 2)
        }
    }

    /// Returns the maximum number of this client's requests without an answer.
    fn unanswered(self, room: Room) -> u32 {
        let part = self.total(room) / self.client.count.max(1);
        u32::try_from(part).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the start of the client's next turn; `None` during its turn.
    fn next_turn(self, now: Instant, room: Room) -> Option<Instant> {
        let groups = at_least_one(self.client.count.div_ceil(self.total(room))) as u64;
        if groups == 1 {
            return None;
        }
        let group = self.client.rank as u64 % groups;
        let time = now.since(Instant::ZERO) + self.client.clock_offset;
        let number = (time.as_nanos() / TURN.as_nanos()) as u64;
        let into_turn = Duration::from_nanos((time.as_nanos() % TURN.as_nanos()) as u64);
        let turns_left = (group + groups - number.wrapping_add(self.client.shift) % groups) % groups;
        if turns_left == 0 && into_turn < TURN_OPEN {
            return None;
        }
        let turns = if turns_left == 0 { groups } else { turns_left };
        Some(now + TURN.saturating_mul(u32::try_from(turns).unwrap_or(u32::MAX)) - into_turn)
    }
}

const fn at_least_one(number: usize) -> usize {
    if number == 0 { 1 } else { number }
}

/// Load of a server, as far as a client knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Number of requests there, of all clients.
    pub running: u32,
    /// Number of requests that it runs at a time.
    pub slots: u32,
}

impl Room {
    const fn is_full(self) -> bool {
        self.running >= self.slots
    }

    const fn is_half_full(self) -> bool {
        2 * self.running >= self.slots
    }
}

/// What a client knows of a server and of the other clients.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    announced: RateLimit,
    client: Client,
}

/// Tolerance of one server for rejections, as one client knows it.
#[derive(Debug, Default)]
pub struct Tolerance {
    known: Mutex<Known>,
    /// Whether a tolerance may be in force, so that the lock is taken for few servers only.
    is_announced: AtomicBool,
    /// Number of this client's requests without an answer.
    unanswered: AtomicU32,
    /// Time until which the client sends nothing.
    held: Expiry,
    /// Time until which the client sends nothing, as others do not know of its last request.
    spaced: Expiry,
}

impl Tolerance {
    /// Applies an announcement if it is newer than the known one; returns whether the tolerance changed.
    pub fn update(&self, announced: RateLimit) -> bool {
        if announced.rate.is_none() && !self.is_announced.load(Relaxed) {
            return false;
        }
        let mut known = self.known();
        let before = known.announced;
        if !announced.replaces(before) {
            return false;
        }
        known.announced = announced;
        self.is_announced.store(announced.rate.is_some(), Relaxed);
        if announced.rate.is_none() {
            self.held.set(Instant::ZERO);
        }
        announced.rate != before.rate
    }

    /// Sets the client's position among all clients.
    pub fn set_client(&self, client: Client) {
        self.known().client = client;
    }

    /// Returns the announcement in force; `None` if there is none.
    pub fn announced(&self, now: Instant) -> Option<RateLimit> {
        if !self.is_announced.load(Relaxed) {
            return None;
        }
        let announced = self.known().announced;
        (announced.rate.is_some() && now.since(announced.at) < ANNOUNCEMENT_TTL).then_some(announced)
    }

    /// Returns the time until which this client sends nothing; `None` if it may send a request now, or the server announces
    /// no tolerance.
    pub fn closed_until(&self, now: Instant, room: Room) -> Option<Instant> {
        let part = self.part(now)?;
        if let Some(until) = self.held.after(now).max(self.spaced.after(now)) {
            return Some(until);
        }
        if self.unanswered.load(Relaxed) >= part.unanswered(room) || room.is_full() {
            return Some(now + RECHECK);
        }
        part.next_turn(now, room)
    }

    /// Records that a request is sent.
    pub fn begin(&self, now: Instant, room: Room) {
        self.unanswered.fetch_add(1, Relaxed);
        if let Some(part) = self.part(now) {
            self.spaced.set(now + NEWS_DELAY / part.unanswered(room));
        }
    }

    /// Records that the server began or rejected a request, or that it was given up.
    pub fn settle(&self, now: Instant, is_rejected: bool) {
        self.unanswered.fetch_sub(1, Relaxed);
        if is_rejected && self.announced(now).is_some() {
            self.hold(now + HOLD);
        }
    }

    /// Sends nothing until `until`, because this client or another one was rejected.
    pub fn hold(&self, until: Instant) {
        self.held.extend(until);
    }

    /// Returns the time until which a rejection holds this client back.
    pub fn held_until(&self, now: Instant) -> Option<Instant> {
        self.held.after(now)
    }

    fn part(&self, now: Instant) -> Option<Part> {
        let rejections = self.announced(now)?.rate?;
        let client = self.known().client;
        Some(Part {
            tolerated: at_least_one(rejections as usize),
            client,
        })
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
