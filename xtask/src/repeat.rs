//! Runs a command many times, several at a time and beside busy threads, and counts how it ended.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::fs::File;
use std::fs::create_dir_all;
use std::fs::remove_file;
use std::hint::spin_loop;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread::scope;
use std::thread::sleep;
use std::time::Instant;

use crate::error::Error;

/// Interval at which a running command is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What is repeated, and how.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Program and its arguments.
    pub command: Vec<String>,
    /// Number of runs.
    pub count: u64,
    /// Number of runs at a time.
    pub jobs: u64,
    /// Number of threads that are busy meanwhile.
    pub busy: u64,
    /// Time after which a run counts as hanging and is ended; processes that it started itself are not.
    pub limit: Duration,
    /// Folder in which the output of each run that did not pass is kept.
    pub folder: PathBuf,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            command: Vec::new(),
            count: 1,
            jobs: 1,
            busy: 0,
            limit: Duration::from_mins(10),
            folder: PathBuf::from("target/repeat"),
        }
    }
}

/// How the runs ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Runs that exited with 0.
    pub passed: u64,
    /// Runs that exited otherwise, or could not be started.
    pub failed: u64,
    /// Runs that did not end in time.
    pub hung: u64,
}

#[derive(Debug, Default)]
struct Counters {
    next: AtomicU64,
    passed: AtomicU64,
    failed: AtomicU64,
    hung: AtomicU64,
}

/// Runs the command as often as the settings say, and prints a line for each run that did not pass.
///
/// # Errors
///
/// Returns an error when there is no command, or the folder for outputs cannot be created.
pub fn run(settings: &Settings) -> Result<Tally, Error> {
    let Some((program, arguments)) = settings.command.split_first() else {
        return Err(Error::Step("no command to repeat".to_owned()));
    };
    create_dir_all(&settings.folder).map_err(|source| Error::Read {
        path: settings.folder.clone(),
        source,
    })?;
    let counters = Counters::default();
    let is_done = AtomicBool::new(false);
    scope(|threads| {
        for _ in 0..settings.busy {
            threads.spawn(|| stay_busy(&is_done));
        }
        let jobs: Vec<_> = (0..settings.jobs)
            .map(|_| threads.spawn(|| run_in_turn(settings, program, arguments, &counters)))
            .collect();
        for job in jobs {
            // A job that panicked leaves its run uncounted, so the sum below shows it.
            drop(job.join());
        }
        is_done.store(true, Ordering::Relaxed);
    });
    Ok(Tally {
        passed: counters.passed.into_inner(),
        failed: counters.failed.into_inner(),
        hung: counters.hung.into_inner(),
    })
}

fn stay_busy(is_done: &AtomicBool) {
    while !is_done.load(Ordering::Relaxed) {
        spin_loop();
    }
}

/// Runs the command until all runs have begun.
fn run_in_turn(settings: &Settings, program: &str, arguments: &[String], counters: &Counters) {
    loop {
        let number = counters.next.fetch_add(1, Ordering::Relaxed);
        if number >= settings.count {
            return;
        }
        let output = settings.folder.join(format!("{number}.txt"));
        let counter = match run_once(program, arguments, &output, settings.limit) {
            Ok(Some(status)) if status.success() => {
                forget(&output);
                &counters.passed
            }
            Ok(Some(status)) => {
                println!("run {number}: {status}, output in {}", output.display());
                &counters.failed
            }
            Ok(None) => {
                println!("run {number}: did not end in time, output in {}", output.display());
                &counters.hung
            }
            Err(error) => {
                println!("run {number}: {error}");
                &counters.failed
            }
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

fn forget(output: &Path) {
    if let Err(error) = remove_file(output) {
        println!("{}: {error}", output.display());
    }
}

/// Runs the command once, and returns its status; `None` if it was ended because it took too long.
fn run_once(program: &str, arguments: &[String], output: &Path, limit: Duration) -> io::Result<Option<ExitStatus>> {
    let file = File::create(output)?;
    let mut child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(file.try_clone()?)
        .stderr(file)
        .spawn()?;
    let began = Instant::now();
    while began.elapsed() < limit {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        sleep(POLL_INTERVAL);
    }
    child.kill()?;
    child.wait()?;
    Ok(None)
}
