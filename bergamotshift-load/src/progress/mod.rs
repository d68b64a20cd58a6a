//! Counts of a run while it goes on, and the line that shows them each second.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Instant;

use crate::Error;
use crate::ledger::Fate;
use crate::ledger::Record;

const PERIOD: Duration = Duration::from_secs(1);

/// Counts of a run.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    sent: AtomicU64,
    whole: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    stopped: AtomicBool,
}

impl Counters {
    pub(crate) fn sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn ended(&self, record: &Record) {
        let counter = match record.fate {
            Fate::Whole => &self.whole,
            Fate::Refused | Fate::Unreachable => &self.refused,
            Fate::Wrong | Fate::Cut | Fate::Lost => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn line(&self, elapsed: Duration) -> String {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (whole, refused, failed) = (read(&self.whole), read(&self.refused), read(&self.failed));
        let sent = read(&self.sent);
        let in_flight = sent.saturating_sub(whole + refused + failed);
        format!(
            "{:4}s  sent {sent:7}  whole {whole:7}  in flight {in_flight:5}  refused {refused:5}  failed {failed:4}",
            elapsed.as_secs(),
        )
    }
}

/// Writes a line per second to the standard error stream.
#[derive(Debug)]
pub(crate) struct Ticker {
    counters: Arc<Counters>,
    thread: JoinHandle<()>,
}

impl Ticker {
    pub(crate) fn start(counters: &Arc<Counters>, start: Instant) -> Result<Self, Error> {
        let shown = Arc::clone(counters);
        let body = move || {
            while !shown.stopped.load(Ordering::Relaxed) {
                thread::park_timeout(PERIOD);
                eprintln!("{}", shown.line(start.elapsed()));
            }
        };
        let thread = thread::Builder::new()
            .name("load-progress".to_owned())
            .spawn(body)
            .map_err(Error::Thread)?;
        Ok(Self {
            counters: Arc::clone(counters),
            thread,
        })
    }

    pub(crate) fn stop(self) {
        self.counters.stopped.store(true, Ordering::Relaxed);
        self.thread.thread().unpark();
        // A line that could not be written ends the thread early; the run does not depend on it.
        drop(self.thread.join());
    }
}
