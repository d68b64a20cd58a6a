//! `bergamotshift status`: how entries stand.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;

use gumdrop::Options;

use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::setting;
use crate::status::Report;
use crate::status::fetch;
use crate::status::table;
use crate::stop;

/// The time between two readings of `--watch`.
const INTERVAL: Duration = Duration::from_secs(2);

/// Arguments of `status`.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// Where the entries take operators.
    #[options(no_short, meta = "IP:PORT,…", help = "the entries' addresses for operators")]
    pub operators: Option<String>,
    /// Whether the output is JSON.
    #[options(no_short, help = "print JSON, one line each time, rather than a table")]
    pub json: bool,
    /// Whether the status is printed again and again.
    #[options(no_short, help = "print again and again until Ctrl-C")]
    pub watch: bool,
    /// The time between two readings.
    #[options(
        no_short,
        meta = "TIME",
        help = "the time between two readings of --watch (default 2s)"
    )]
    pub interval: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        vec![("operators", &mut self.operators), ("interval", &mut self.interval)]
    }
}

impl Arguments {
    /// Returns the entries' addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when there is none or one is wrong.
    pub fn addresses(&self) -> Result<Vec<SocketAddr>, setting::Error> {
        const FLAG: &str = "operators";
        let addresses = setting::list(FLAG, self.operators.as_deref())?;
        if addresses.is_empty() {
            let purpose = "where the entries take operators, such as 10.0.0.7:9090";
            return Err(setting::Error::Missing { flag: FLAG, purpose });
        }
        Ok(addresses)
    }
}

/// Prints how entries stand, once or until Ctrl-C.
///
/// # Errors
///
/// Returns a wrong setting, or that no entry answered the only reading.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let addresses = arguments.addresses()?;
    let interval = setting::duration("interval", arguments.interval.as_deref(), INTERVAL)?;
    if arguments.watch {
        return watch(arguments, &addresses, interval);
    }
    let reports = fetch::all(&addresses);
    print(arguments, &reports)?;
    if reports.iter().all(|report| report.status.is_err()) {
        return Err(Error::Failed("no entry answered".to_owned()));
    }
    Ok(())
}

fn watch(arguments: &Arguments, addresses: &[SocketAddr], interval: Duration) -> Result<(), Error> {
    let signal = stop::Signal::register().map_err(|error| Error::failed(&error))?;
    let (stopped, stop) = mpsc::channel();
    thread::spawn(move || {
        signal.wait();
        let _ = stopped.send(());
    });
    loop {
        print(arguments, &fetch::all(addresses))?;
        match stop.recv_timeout(interval) {
            Err(RecvTimeoutError::Timeout) => {}
            Ok(()) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
    }
}

fn print(arguments: &Arguments, reports: &[Report]) -> Result<(), Error> {
    let text = if arguments.json {
        let all: Vec<_> = reports.iter().map(Report::json).collect();
        format!("{}\n", serde_json::Value::Array(all))
    } else {
        table::text(reports)
    };
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|error| Error::failed(&error))
}
