//! A log that tests can read and wait for.

use core::fmt;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use slog::Drain;
use slog::KV;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;
use slog::Serializer;
use slog::o;

/// Keeps every record, of any level, as one line.
#[derive(Debug)]
pub struct Journal {
    lines: mpsc::Receiver<String>,
    seen: Vec<String>,
}

impl Journal {
    pub fn start() -> (Logger, Self) {
        let (sender, lines) = mpsc::channel();
        let drain = Lines(Arc::new(Mutex::new(sender)));
        (
            Logger::root(drain.ignore_res(), o!()),
            Self {
                lines,
                seen: Vec::new(),
            },
        )
    }

    /// Waits until a line holds this text.
    pub fn wait(&mut self, text: &str) {
        loop {
            let line = self.lines.recv_timeout(Duration::from_secs(20));
            let line = line.unwrap_or_else(|_| panic!("no record says `{text}`: {:?}", self.seen));
            let found = line.contains(text);
            self.seen.push(line);
            if found {
                return;
            }
        }
    }

    /// Returns everything logged so far.
    pub fn text(&mut self) -> String {
        self.seen.extend(self.lines.try_iter());
        self.seen.join("\n")
    }
}

struct Lines(Arc<Mutex<mpsc::Sender<String>>>);

impl Drain for Lines {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let mut line = Line(format!("{} {}", record.level(), record.msg()));
        record.kv().serialize(record, &mut line).map_err(io::Error::other)?;
        values.serialize(record, &mut line).map_err(io::Error::other)?;
        // The test may be over while the entry still ends.
        drop(self.0.lock().unwrap().send(line.0));
        Ok(())
    }
}

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, val: &fmt::Arguments<'_>) -> slog::Result {
        use fmt::Write;

        write!(self.0, " {key}={val}").map_err(slog::Error::from)
    }
}
