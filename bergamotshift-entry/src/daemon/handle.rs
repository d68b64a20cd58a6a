//! A running entry, as its process holds it.

use core::net::SocketAddr;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Instant;

use bergamotshift_limit::stop;
use slog::info;
use slog::warn;

use super::server::Stop;
use crate::admin::status::Status;
use crate::control;
use crate::peers;
use crate::worker::Shared;

/// The time between two looks at whether requests are still being served.
const LOOK: Duration = Duration::from_millis(5);

/// How long the goodbye to the other entries may take.
const GOODBYE: Duration = Duration::from_secs(2);

/// How long callers may take to be told that the grace is over, or that their requests came too late for it.
const TELLING: Duration = Duration::from_millis(250);

/// How long the server threads may take to end once nothing is under way.
const ENDING: Duration = Duration::from_secs(1);

/// How a drain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drained {
    /// Requests that were still being served when the grace was over.
    pub cut: u64,
}

/// A running entry; dropping it ends the entry at once.
#[derive(Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    callers: SocketAddr,
    operators: SocketAddr,
    pub(super) control: Option<thread::JoinHandle<()>>,
    pub(super) server: Option<thread::JoinHandle<()>>,
    pub(super) stop: Option<Stop>,
}

impl Handle {
    pub(super) const fn new(shared: Arc<Shared>, callers: SocketAddr, operators: SocketAddr) -> Self {
        Self {
            shared,
            callers,
            operators,
            control: None,
            server: None,
            stop: None,
        }
    }

    /// Returns where callers reach the entry.
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where operators reach the entry.
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns how the entry stands, or nothing when it is ending.
    pub async fn status(&self) -> Option<Status> {
        let (answer, status) = tokio::sync::oneshot::channel();
        self.shared.control.send(control::Request::Status(answer));
        status.await.ok()
    }

    /// Returns what reaches the other entries, when this one takes part in a fleet.
    pub fn peers(&self) -> Option<&peers::Sender> {
        self.shared.peers.get()
    }

    /// Ends the entry without cutting a request, for as long as the grace lasts; blocks until it has ended.
    ///
    /// Readiness goes first, so that the balancer sends no new callers. Those that come all the same are served for
    /// the settling time, unless they may outlast the grace; then nothing is accepted any more, and what is under way is
    /// served to its end. Callers whose requests are under way when the grace is over are told so.
    pub fn drain(&self, grace: Duration) -> Drained {
        let began = Instant::now();
        let logger = &self.shared.settings.logger;
        let drain_delay = self.shared.settings.drain_delay.min(grace);
        let settings = stop::Settings {
            accept_time: drain_delay,
            ..stop::Settings::default()
        };
        self.shared.draining.store(true, Ordering::Release);
        self.shared
            .drain
            .begin(stop::Stop::new(settings, self.shared.now(), grace));
        info!(logger, "draining"; "active" => self.active());
        while began.elapsed() < drain_delay {
            thread::sleep(LOOK);
        }
        if let Some(stop) = &self.stop {
            stop.close();
        }
        let cut = loop {
            if !self.is_busy() {
                break 0;
            }
            if began.elapsed() >= grace {
                break self.active();
            }
            thread::sleep(LOOK);
        };
        if cut > 0 {
            warn!(logger, "the grace is over"; "cut" => cut);
            self.end_requests();
        }
        self.say_goodbye();
        self.answer_rest((began + grace).max(Instant::now() + TELLING));
        self.end();
        self.wait_for_server();
        info!(logger, "drained"; "cut" => cut);
        Drained { cut }
    }

    /// Ends the requests under way, and waits until their callers have been told.
    fn end_requests(&self) {
        let began = Instant::now();
        self.shared.drain.end();
        while self.active() > 0 && began.elapsed() < TELLING {
            thread::sleep(LOOK);
        }
        // An answer is written right after its request stops counting as in flight.
        thread::sleep(LOOK);
    }

    /// Waits until the requests that wait in the sockets have been read and refused, until a time at most.
    fn answer_rest(&self, until: Instant) {
        let drain = &self.shared.drain;
        drain.ask_to_read();
        while !(drain.is_read() && self.active() == 0) && Instant::now() < until {
            thread::sleep(LOOK);
        }
    }

    /// Tells the other entries that this one leaves, and hands on what it keeps for others.
    fn say_goodbye(&self) {
        let Some(peers) = self.peers() else { return };
        let (done, told) = mpsc::channel();
        peers.send(peers::Request::Leave(done));
        // A part that has ended drops the channel; the bound is for one that hangs, since the VM goes anyway.
        let _ = told.recv_timeout(GOODBYE);
    }

    /// Waits until the server threads have ended, so that nobody listens any more.
    fn wait_for_server(&self) {
        let began = Instant::now();
        let serves = || self.server.as_ref().is_some_and(|server| !server.is_finished());
        while serves() && began.elapsed() < ENDING {
            thread::sleep(LOOK);
        }
        if serves() {
            let logger = &self.shared.settings.logger;
            warn!(logger, "the server threads have not ended"; "waited_ms" => ENDING.as_millis() as u64);
        }
    }

    /// Waits until the entry has ended.
    pub fn join(mut self) {
        for thread in [self.server.take(), self.control.take()].into_iter().flatten() {
            drop(thread.join());
        }
    }

    /// Returns the number of requests being served.
    pub fn active(&self) -> u64 {
        u64::try_from(self.shared.metrics.active.get()).unwrap_or(0)
    }

    /// Returns whether a request is being served, or its claim is still to be recorded.
    ///
    /// Failure: the entry ends between an answer and its record. Symptom: a caller who asks again is told `unknown`
    /// of a request that was answered.
    fn is_busy(&self) -> bool {
        self.active() > 0 || self.shared.recordings.load(Ordering::Acquire) > 0
    }

    fn end(&self) {
        if let Some(stop) = &self.stop {
            stop.end();
        }
        self.shared.control.send(control::Request::Stop);
        if let Some(traces) = &self.shared.traces {
            traces.end();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.end();
    }
}
