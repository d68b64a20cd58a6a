//! Stand-ins as processes of their own.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Time within which a process has to say where it listens.
const START: Duration = Duration::from_secs(10);

/// Running stand-in; killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl Process {
    /// Starts a stand-in and waits until it says where it listens; what it writes goes to the record, after `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start in time.
    pub fn start(program: &Path, arguments: &[&str], name: &str, record: &Record) -> io::Result<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let (told, heard) = mpsc::channel();
        if let Some(output) = child.stdout.take() {
            let (name, record) = (name.to_owned(), record.clone());
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    record.line(&format!("{name}: {line}"));
                    if let Some(address) = line.strip_prefix("listening ").and_then(|text| text.parse().ok()) {
                        let _ = told.send(address);
                    }
                }
            });
        }
        if let Ok(address) = heard.recv_timeout(START) {
            Ok(Self { child, address })
        } else {
            child.kill()?;
            child.wait()?;
            Err(io::Error::other("the stand-in did not say where it listens"))
        }
    }

    /// Kills it, as when its machine is taken away.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that it has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
