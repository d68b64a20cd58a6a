//! The signals by which a process is asked to stop.

use std::io;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::signal::unix::Signal as Stream;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Waits for SIGTERM or SIGINT.
///
/// Registered before the process's work starts, so that a signal that comes early is not lost.
#[derive(Debug)]
pub struct Signal {
    runtime: Runtime,
    terminate: Stream,
    interrupt: Stream,
}

impl Signal {
    /// Registers for both signals; from now on they no longer end the process by themselves.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a handler can't be set.
    pub fn register() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (terminate, interrupt) = {
            let _context = runtime.enter();
            (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?)
        };
        Ok(Self {
            runtime,
            terminate,
            interrupt,
        })
    }

    /// Blocks until one of the signals has come.
    pub fn wait(mut self) {
        let both = async {
            tokio::select! {
                _ = self.terminate.recv() => {}
                _ = self.interrupt.recv() => {}
            }
        };
        self.runtime.block_on(both);
    }
}
