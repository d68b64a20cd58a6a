//! Record of a run: what was sent, answered and run, with the time of each line.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// Record that all threads of a case write to.
#[derive(Clone, Debug)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file of a record.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = writeln!(file, "{:9.3} {text}", self.now()) {
            eprintln!("record not written: {error}");
        }
    }
}
