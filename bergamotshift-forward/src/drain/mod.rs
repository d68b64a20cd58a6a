//! Progress of a stop, as requests see it, and how long requests last.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::stop::Durations;
use bergamotshift_limit::stop::Stop;
use smol_str::SmolStr;
use tokio::sync::Notify;

/// Maximum number of routes whose durations are kept; routes come and go with documents.
const MAX_ROUTES: usize = 4_096;

/// Progress of the entry's stop. Threads hold the lock of the durations for microseconds.
#[derive(Debug, Default)]
pub struct Drain {
    stop: OnceLock<Stop>,
    is_closed: AtomicBool,
    is_over: AtomicBool,
    /// Number of requests that endpoints may have run and that were ended.
    cut: AtomicUsize,
    /// Number of times that the threads which serve callers were asked to read what waits in their sockets.
    asked: AtomicU64,
    /// For each of those threads, the value of `asked` before it last did so.
    readers: Mutex<Vec<Arc<AtomicU64>>>,
    changed: Notify,
    durations: Mutex<HashMap<SmolStr, Durations>>,
}

impl Drain {
    /// Begins a stop, unless one has begun.
    pub fn begin(&self, stop: Stop) {
        let _ = self.stop.set(stop);
        self.changed.notify_waiters();
    }

    /// Refuses all requests that arrive from now on.
    ///
    /// A request that is counted as in flight after this call finds the entry closed.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Ends the requests in flight.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Waits until the stop has begun, and returns it.
    pub async fn begun(&self) -> &Stop {
        loop {
            let changed = self.changed.notified();
            if let Some(stop) = self.stop() {
                return stop;
            }
            changed.await;
        }
    }

    /// Asks the threads that serve callers to read what waits in their sockets.
    pub fn ask_to_read(&self) {
        self.asked.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Returns whether all threads that serve callers have read what waited in their sockets when they were last asked.
    pub fn is_read(&self) -> bool {
        let asked = self.asked.load(Ordering::SeqCst);
        let readers = self.readers.lock().unwrap_or_else(PoisonError::into_inner);
        readers.iter().all(|reader| reader.load(Ordering::SeqCst) >= asked)
    }

    /// Adds a thread that serves callers.
    pub(crate) fn add_reader(&self) -> Arc<AtomicU64> {
        let reader = Arc::default();
        let mut readers = self.readers.lock().unwrap_or_else(PoisonError::into_inner);
        readers.push(Arc::clone(&reader));
        reader
    }

    /// Returns how often the threads were asked to read.
    pub(crate) fn asked(&self) -> u64 {
        self.asked.load(Ordering::SeqCst)
    }

    /// Waits until the stop changes, for `interval` at most.
    pub(crate) async fn changed_within(&self, interval: Duration) {
        // Both outcomes are alike to those who wait.
        let _ = tokio::time::timeout(interval, self.changed.notified()).await;
    }

    /// Counts a request that an endpoint may have run as ended.
    pub fn record_cut(&self) {
        self.cut.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of such requests.
    pub fn cut(&self) -> usize {
        self.cut.load(Ordering::SeqCst)
    }

    /// Returns the stop, once it has begun.
    pub fn stop(&self) -> Option<&Stop> {
        self.stop.get()
    }

    /// Returns whether requests that arrive are refused.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.is_closed.load(Ordering::SeqCst) || self.stop().is_some_and(|stop| now >= stop.closes())
    }

    /// Waits until requests that arrive are refused, by the time that `clock` returns.
    pub async fn closed(&self, clock: impl Fn() -> Instant) {
        loop {
            let changed = self.changed.notified();
            if self.is_closed(clock()) {
                return;
            }
            match self.stop() {
                Some(stop) => {
                    let open = stop.closes().since(clock());
                    // After the time, the entry is closed.
                    let _ = tokio::time::timeout(open, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Returns what a future returns, or `None` if the requests in flight are ended first.
    pub async fn until_over<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let over = async {
            loop {
                let changed = self.changed.notified();
                if self.is_over.load(Ordering::SeqCst) {
                    return;
                }
                changed.await;
            }
        };
        tokio::select! {
            biased;
            done = work => Some(done),
            () = over => None,
        }
    }

    /// Records how long a request of a route lasted.
    pub fn record(&self, route: &SmolStr, duration: Duration) {
        let mut durations = self.durations();
        if durations.len() >= MAX_ROUTES && !durations.contains_key(route) {
            durations.clear();
        }
        durations.entry(route.clone()).or_default().record(duration);
    }

    /// Returns the time within which nearly all requests of a route end; `None` if it is not known.
    pub fn expected(&self, route: &SmolStr) -> Option<Duration> {
        self.durations().get(route)?.expected()
    }

    fn durations(&self) -> MutexGuard<'_, HashMap<SmolStr, Durations>> {
        self.durations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
