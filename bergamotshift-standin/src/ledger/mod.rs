//! What an endpoint truly ran, kept for checks after a test.

use core::sync::atomic::AtomicU32;
use core::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// How a run stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It goes on.
    #[default]
    Running,
    /// It came to its end, whether or not its answer arrived.
    Finished,
    /// Its caller went away and the rest was not computed.
    Cancelled,
    /// The endpoint died under it.
    Died,
}

/// One request that an endpoint began to work on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// The attempt id that came with it.
    pub attempt: Option<SmolStr>,
    /// The idempotency key that came with it.
    pub key: Option<SmolStr>,
    /// The organisation, when the request named it.
    pub organisation: Option<SmolStr>,
    /// The service, as the stand-in's settings name it.
    pub service: SmolStr,
    /// The request's method and path.
    pub target: SmolStr,
    /// The fingerprint of the request's content, in hexadecimal.
    pub digest: SmolStr,
    /// Tokens generated so far.
    pub tokens: u32,
    /// Prompt tokens computed, not counting those found in the cache or imported.
    pub prefilled: u32,
    /// How it stands.
    pub state: State,
    /// Whether it came to its end.
    pub finished: bool,
    /// When it began, in milliseconds since the stand-in's start.
    pub at: u64,
}

/// The runs of one endpoint, in the order of their starts.
#[derive(Debug)]
pub(crate) struct Ledger {
    start: Instant,
    runs: Mutex<Vec<Run>>,
    running: AtomicU32,
}

/// Finds a run in its ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry(usize);

impl Entry {
    /// Returns the run's number, from 1.
    pub(crate) const fn number(self) -> usize {
        self.0 + 1
    }
}

impl Ledger {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            runs: Mutex::default(),
            running: AtomicU32::new(0),
        }
    }

    /// Writes a run down and returns its place.
    pub(crate) fn begin(&self, run: Run) -> Entry {
        let at = self.start.elapsed().as_millis() as u64;
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(Run { at, ..run });
        self.running.fetch_add(1, Ordering::Relaxed);
        Entry(runs.len() - 1)
    }

    /// Returns how many runs go on.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Changes a run.
    pub(crate) fn change(&self, entry: Entry, change: impl FnOnce(&mut Run)) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(entry.0) {
            change(run);
        }
    }

    /// Ends a run that still goes on; a later end does not change an earlier one.
    pub(crate) fn end(&self, entry: Entry, state: State) {
        self.change(entry, |run| {
            if run.state == State::Running {
                run.state = state;
                run.finished = state == State::Finished;
                self.running.fetch_sub(1, Ordering::Relaxed);
            }
        });
    }

    /// Marks all running runs as died.
    pub(crate) fn die(&self) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        for run in runs.iter_mut().filter(|run| run.state == State::Running) {
            run.state = State::Died;
            self.running.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Returns all runs.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
