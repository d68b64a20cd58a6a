//! `bergamotshift config show`.

use std::path::Path;

use gumdrop::Options;

use super::base;
use super::check;
use super::platform::Platform;
use super::platform::block_on;
use crate::config::accept::record::Record;
use crate::config::accept::record::Version;
use crate::config::manifest::Manifest;
use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::setting;

/// Arguments of `config show`.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// The version.
    #[options(no_short, meta = "NUMBER", help = "the version (default: the accepted one)")]
    pub version: Option<String>,
    /// Where the files go.
    #[options(
        no_short,
        meta = "DIR",
        help = "write the version's files into this folder; print it merged otherwise"
    )]
    pub folder: Option<String>,
    /// The platform's table service.
    #[options(no_short, meta = "IP:PORT", help = "the platform's table service")]
    pub table: Option<String>,
    /// The platform's object store.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object store")]
    pub objects: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        vec![
            ("version", &mut self.version),
            ("folder", &mut self.folder),
            ("table", &mut self.table),
            ("objects", &mut self.objects),
        ]
    }
}

/// Prints a version or writes its files.
///
/// # Errors
///
/// Returns why it can't be read or written.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let wanted: Option<u64> = setting::optional("version", arguments.version.as_deref())?;
    let (table, objects) = (arguments.table.clone(), arguments.objects.clone());
    let found = block_on(async move {
        let platform = Platform::connect(table.as_deref(), objects.as_deref()).await?;
        fetch(&platform, wanted.map(Version::new)).await
    })?;
    let Some((record, manifest)) = found else {
        return Err(Error::Failed("no version was accepted yet".to_owned()));
    };
    if let Some(folder) = &arguments.folder {
        return write(folder, &record, &manifest);
    }
    println!("# version {}", record.revision.version.get());
    print!("{}", check::parse(&manifest)?);
    Ok(())
}

async fn fetch(platform: &Platform, wanted: Option<Version>) -> Result<Option<(Record, Manifest)>, Error> {
    let Some(record) = platform.version(wanted).await? else {
        return Ok(None);
    };
    let manifest = platform.content(&record.revision.digest).await?;
    Ok(Some((record, manifest)))
}

fn write(folder: &str, record: &Record, manifest: &Manifest) -> Result<(), Error> {
    std::fs::create_dir_all(folder).map_err(|error| Error::Failed(format!("{folder}: {error}")))?;
    for (name, text) in manifest.files() {
        let path = Path::new(folder).join(name);
        std::fs::write(&path, text.as_bytes())
            .map_err(|error| Error::Failed(format!("{}: {error}", path.display())))?;
    }
    base::save(folder, record.revision.version)?;
    println!("{folder}: version {}", record.revision.version.get());
    Ok(())
}
