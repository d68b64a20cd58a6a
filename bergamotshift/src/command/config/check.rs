//! `bergamotshift config check`.

use std::path::Path;

use gumdrop::Options;

use crate::config::config::Config;
use crate::config::folder;
use crate::config::folder::Parser;
use crate::config::manifest::Manifest;
use crate::core::plugin;
use crate::endpoint::adapter;
use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::setting;

/// Arguments of `config check`.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// The folder.
    #[options(no_short, meta = "DIR", help = "the operators' folder")]
    pub folder: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        vec![("folder", &mut self.folder)]
    }
}

/// Checks a folder.
///
/// # Errors
///
/// Returns every problem of the folder.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let folder: String = setting::required("folder", arguments.folder.as_deref(), "the folder to check")?;
    let config = parse(&read(&folder)?)?;
    println!(
        "{folder}: {} zones, {} services, {} organisations, no problems",
        config.zones.len(),
        config.services.len(),
        config.organisations.len()
    );
    Ok(())
}

/// Reads a folder's files.
///
/// # Errors
///
/// Returns why a file can't be read, or is too large.
pub fn read(folder: &str) -> Result<Manifest, Error> {
    let files = folder::read(Path::new(folder)).map_err(|error| Error::failed(&error))?;
    Manifest::new(&files).map_err(|error| Error::failed(&error))
}

/// Parses and checks content against the adapters of this release.
///
/// # Errors
///
/// Returns every problem, with file, line and key.
pub fn parse(manifest: &Manifest) -> Result<Config, Error> {
    let adapters = plugin::names::<adapter::Kind>();
    let parser = Parser {
        adapters: Some(&adapters),
    };
    manifest.config_with(&parser).map_err(|error| Error::failed(&error))
}
