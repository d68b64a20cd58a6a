//! One daemon as a process of its own.

use core::time::Duration;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use thiserror::Error as ThisError;

/// How long a daemon may take to say where it listens.
const START: Duration = Duration::from_secs(20);

/// Why a daemon does not run.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The program cannot be started.
    #[error("cannot start the program: {0}")]
    Spawn(#[from] io::Error),
    /// It did not say where it listens.
    #[error("it did not say where it listens within {START:?}")]
    Mute,
}

/// Where a daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer.
    pub ready: SocketAddr,
    /// For the other entries.
    pub peers: SocketAddr,
    /// For the other entries' tunnels to endpoints.
    pub relay: SocketAddr,
}

/// A running daemon; killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where it listens.
    pub addresses: Addresses,
}

impl Process {
    /// Starts a daemon and waits until it says where it listens; what it writes is kept in `log`.
    ///
    /// # Errors
    ///
    /// Returns why it does not run.
    pub fn start(program: &Path, settings: &Path, log: File) -> Result<Self, Error> {
        let mut child = Command::new(program)
            .args(["forward", "--log-format", "json", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone()?)
            .spawn()?;
        let (told, heard) = mpsc::channel();
        if let Some(output) = child.stdout.take() {
            thread::spawn(move || keep(output, log, &told));
        }
        if let Ok(addresses) = heard.recv_timeout(START) {
            return Ok(Self { child, addresses });
        }
        child.kill()?;
        child.wait()?;
        Err(Error::Mute)
    }

    /// Sends it a signal; one that has ended gets none.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Returns its identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns how it ended, if it did.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Keeps what a daemon writes, and tells where it listens once it says so.
fn keep(output: ChildStdout, mut log: File, told: &mpsc::Sender<Addresses>) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        // A full disk costs the log, not the run.
        let _ = writeln!(log, "{line}");
        if let Some(addresses) = started(&line) {
            let _ = told.send(addresses);
        }
    }
}

fn started(line: &str) -> Option<Addresses> {
    let record: Value = serde_json::from_str(line).ok()?;
    if record["msg"] != "started" {
        return None;
    }
    let address = |name: &str| record[name].as_str()?.parse().ok();
    Some(Addresses {
        callers: address("callers")?,
        ready: address("ready")?,
        peers: address("peers")?,
        relay: address("relay")?,
    })
}
