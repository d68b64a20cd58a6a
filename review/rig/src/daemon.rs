//! The project's daemon as a process of its own.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// Time within which a daemon has to say where it listens.
const START: Duration = Duration::from_secs(20);

/// Running daemon; killed when it is dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
}

/// What the settings of a daemon depend on.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address of the store and the cloud API.
    pub platform: SocketAddr,
    /// Folder for its settings and its log.
    pub folder: PathBuf,
}

impl Place {
    /// Returns the settings: `deploy/forward.toml` with the figures of a small deployment, on free loopback ports.
    fn settings(&self) -> String {
        let Self {
            name, zone, platform, ..
        } = self;
        format!(
            r#"name = "{name}"
zone = "{zone}"
core_share = 0.25
link_mbps = 1000.0
outside = "metadata"

[listen]
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
relay = "127.0.0.1:0"

[peers]
seeds = []

[store]
address = "{platform}"

[cloud]
address = "{platform}"

[stop]
grace_s = 8

[retry]
ratio = 0.2
slack = 56

[duty]
lease_ms = 3000
usage_window_s = 5
usage_due_s = 10

[limit]
slack = 190000

[capacity]
reclaimable = 5
least = 7
reads = 25000.0
ahead = true

[rollout]
"#
        )
    }

    /// Starts a daemon with the command of the deploy file, and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start in time.
    pub fn start(&self, program: &Path) -> io::Result<Daemon> {
        let settings = self.folder.join(format!("{}.toml", self.name));
        fs::write(&settings, self.settings())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let mut child = Command::new(program)
            .args(["forward", "--log-format", "json"])
            .env("BERGAMOTSHIFT_SETTINGS", &settings)
            .env("MIMALLOC_ALLOW_THP", "0")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone()?)
            .spawn()?;
        let (told, heard) = mpsc::channel();
        if let Some(output) = child.stdout.take() {
            thread::spawn(move || keep(output, log, &told));
        }
        if let Ok((front, ready)) = heard.recv_timeout(START) {
            Ok(Daemon { child, front, ready })
        } else {
            child.kill()?;
            child.wait()?;
            Err(io::Error::other("the daemon did not say where it listens"))
        }
    }
}

impl Daemon {
    /// Sends it a signal, such as `TERM`, by the `kill` of the shell.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal was not sent.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let command = format!("kill -{signal} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("{command}: {status}")))
        }
    }

    /// Returns how it ended, if it did.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // An error means that it has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Keeps what a daemon writes, and tells where it listens once it says so.
fn keep(output: ChildStdout, mut log: File, told: &mpsc::Sender<(SocketAddr, SocketAddr)>) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        // A full disk costs the log, not the run.
        let _ = writeln!(log, "{line}");
        let Ok(entry) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        let address = |name: &str| entry[name].as_str().and_then(|text| text.parse().ok());
        if let (true, Some(front), Some(ready)) = (entry["msg"] == "started", address("callers"), address("ready")) {
            let _ = told.send((front, ready));
        }
    }
}
