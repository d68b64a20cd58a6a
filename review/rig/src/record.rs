//! Record of a run: what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// File of lines with their times.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    began: Instant,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            began: Instant::now(),
        })
    }

    /// Writes a line with the current time.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with a time.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A full disk costs the record, not the verdict.
        let _ = writeln!(file, "{seconds:9.4} {text}");
    }

    /// Writes buffered lines to the file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn flush(&self) -> io::Result<()> {
        self.file.lock().unwrap_or_else(PoisonError::into_inner).flush()
    }
}
