//! Connections of callers, tracked so that idle ones can be closed when the entry stops.

use core::cell::RefCell;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use bergamotshift_limit::stop;
use bergamotshift_limit::stop::Stop;
use ntex::io::IoRef;

use crate::drain::Drain;

/// Interval at which a stopping process closes connections that became idle.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);

/// Connections of callers to one thread.
#[derive(Clone, Debug, Default)]
pub struct Callers(Rc<RefCell<HashMap<IoRef, State>>>);

/// State of a connection.
#[derive(Clone, Copy, Debug)]
struct State {
    /// Number of requests in flight.
    in_flight: u32,
    /// Whether a request has arrived on it.
    is_used: bool,
    /// Time at which it was accepted or its last request ended.
    since: Instant,
    /// Whether it is being closed, or its caller was told that it ends.
    is_closing: bool,
}

impl State {
    /// Returns the state of a connection without a request.
    fn idle() -> Self {
        Self {
            in_flight: 0,
            is_used: false,
            since: Instant::now(),
            is_closing: false,
        }
    }

    /// Returns the state of a connection whose socket has been read since `looked`.
    fn as_seen(&self, connection: &IoRef, looked: Instant) -> stop::Connection {
        stop::Connection {
            idle: self.is_used.then(|| self.since.elapsed()),
            in_flight: self.in_flight,
            has_unread: self.since >= looked || connection.with_read_src_buf(|buffer| !buffer.is_empty()),
            has_unwritten: connection.with_write_dst_buf(|buffer| !buffer.is_empty()),
        }
    }
}

/// Maximum number of sockets that the runtime finds readable at a time.
const MAX_EVENTS: usize = 1_024;

/// Waits until the tasks of this many connections have read what waited in their sockets.
async fn read_sockets(count: usize) {
    // The runtime wakes a task that yielded after those whose sockets it found readable.
    for _ in 0..=count.div_ceil(MAX_EVENTS) {
        tokio::task::yield_now().await;
    }
}

/// Guard that counts one request as in flight on a connection until it is dropped.
#[derive(Debug)]
pub struct Guard {
    callers: Callers,
    connection: IoRef,
}

/// Admission of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// There was room.
    Free,
    /// An idle connection was closed for it.
    Replaced,
    /// It was closed.
    Refused,
}

impl Callers {
    /// Counts a request as in flight on a connection.
    pub fn track(&self, connection: &IoRef) -> Guard {
        let mut connections = self.0.borrow_mut();
        let state = connections.entry(connection.clone()).or_insert_with(State::idle);
        state.in_flight += 1;
        state.is_used = true;
        drop(connections);
        Guard {
            callers: self.clone(),
            connection: connection.clone(),
        }
    }

    /// Refuses the requests that follow on a connection whose caller was told that it ends.
    pub fn end(&self, connection: &IoRef) {
        if let Some(state) = self.0.borrow_mut().get_mut(connection) {
            state.is_closing = true;
        }
    }

    /// Admits a new connection. If there are `max` of them, the one that has been without a request for longest is closed for
    /// it; if there is none, the new one is.
    pub(super) fn admit(&self, connection: &IoRef, max: usize) -> Admission {
        let mut admission = Admission::Free;
        if self.0.borrow().len() >= max {
            self.forget_closed();
        }
        let mut connections = self.0.borrow_mut();
        if connections.len() >= max {
            let idle = connections.iter().filter(|(_, state)| state.in_flight == 0);
            let oldest = idle
                .min_by_key(|(_, state)| state.since)
                .map(|(oldest, _)| oldest.clone());
            let Some(oldest) = oldest else {
                connection.terminate();
                return Admission::Refused;
            };
            oldest.terminate();
            connections.remove(&oldest);
            admission = Admission::Replaced;
        }
        connections.insert(connection.clone(), State::idle());
        admission
    }

    /// Adds a new connection.
    pub fn accept(&self, connection: &IoRef) {
        self.0.borrow_mut().insert(connection.clone(), State::idle());
    }

    /// Closes idle connections once the process stops, and reads what waits in the sockets whenever it is asked to.
    pub async fn follow(&self, drain: &Drain) {
        let reader = drain.add_reader();
        let stop = drain.begun().await;
        loop {
            let asked = drain.asked();
            self.close_idle(stop).await;
            // What was read last begins, and what it answers at once is written.
            read_sockets(self.count()).await;
            reader.store(asked, Ordering::SeqCst);
            if drain.asked() == asked {
                drain.changed_within(CLOSE_INTERVAL).await;
            }
        }
    }

    /// Closes the connections on which no request is in flight or arrives.
    ///
    /// Otherwise, a caller could send a request on an idle connection just before the process ends, and the request
    /// would be cut. A caller whose connection is closed connects to another entry. What waits in the sockets is read first:
    /// it would be lost with its connection. Bytes that have been read are a request that is about to begin, or the beginning
    /// of one, so their connection is left open. A request that crosses the close is not forwarded, so its caller may send it
    /// again.
    async fn close_idle(&self, stop: &Stop) {
        self.forget_closed();
        let looked = Instant::now();
        read_sockets(self.count()).await;
        for (connection, state) in self.0.borrow_mut().iter_mut() {
            if stop.may_close(&state.as_seen(connection, looked)) {
                state.is_closing = true;
                connection.close();
            }
        }
    }

    fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Forgets closed connections without requests in flight.
    pub fn forget_closed(&self) {
        self.0
            .borrow_mut()
            .retain(|connection, state| state.in_flight > 0 || !connection.is_closed());
    }
}

impl Guard {
    /// Returns whether the connection was being closed, or its caller had been told that it ends, when the request arrived.
    pub fn is_closing(&self) -> bool {
        if self.connection.is_closed() {
            return true;
        }
        let connections = self.callers.0.borrow();
        connections.get(&self.connection).is_some_and(|state| state.is_closing)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(state) = self.callers.0.borrow_mut().get_mut(&self.connection) {
            state.in_flight -= 1;
            state.since = Instant::now();
        }
    }
}
