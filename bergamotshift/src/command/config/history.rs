//! `bergamotshift config history`.

use core::time::Duration;
use std::time::UNIX_EPOCH;

use gumdrop::Options;

use super::platform::Platform;
use super::platform::block_on;
use crate::config::accept::record::Record;
use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;

/// Arguments of `config history`.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// The platform's table service.
    #[options(no_short, meta = "IP:PORT", help = "the platform's table service")]
    pub table: Option<String>,
    /// The platform's object store.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object store")]
    pub objects: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        vec![("table", &mut self.table), ("objects", &mut self.objects)]
    }
}

/// Lists the accepted versions, oldest first.
///
/// # Errors
///
/// Returns why they can't be read.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let (table, objects) = (arguments.table.clone(), arguments.objects.clone());
    let records = block_on(async move {
        let platform = Platform::connect(table.as_deref(), objects.as_deref()).await?;
        platform.history().await
    })?;
    for record in &records {
        println!("{}", line(record));
    }
    Ok(())
}

fn line(record: &Record) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(record.at);
    let mut line = format!(
        "{:>6}  {}  {}  {}",
        record.revision.version.get(),
        humantime::format_rfc3339_seconds(at),
        record.revision.digest,
        record.author
    );
    if !record.passed_over.is_empty() {
        let zones: Vec<&str> = record.passed_over.iter().map(AsRef::as_ref).collect();
        line.push_str("  passed over: ");
        line.push_str(&zones.join(", "));
    }
    line
}
