//! `bergamotshift config`: the operators' folder.

use std::path::Path;

use gumdrop::Options;

use crate::config::folder;
use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::setting;

/// Arguments of `config`.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// What to do with the folder.
    #[options(command)]
    pub action: Option<Action>,
}

/// What can be done with the folder.
#[derive(Debug)]
#[derive(Options)]
pub enum Action {
    /// Check a folder.
    #[options(help = "check a folder and print its problems with file, line and key")]
    Check(Check),
}

/// Arguments of `config check`.
#[derive(Debug)]
#[derive(Options)]
pub struct Check {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// The folder.
    #[options(no_short, meta = "DIR", help = "the operators' folder")]
    pub folder: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        match &mut self.action {
            Some(Action::Check(check)) => vec![("folder", &mut check.folder)],
            None => Vec::new(),
        }
    }
}

/// Runs the action.
///
/// # Errors
///
/// Returns [`Error::Failed`] when the folder has problems, and [`Error::Usage`] when no action is given.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    match &arguments.action {
        Some(Action::Check(check)) => run_check(check),
        None => Err(Error::Usage("config needs an action: check".to_owned())),
    }
}

fn run_check(arguments: &Check) -> Result<(), Error> {
    let folder: String = setting::required("folder", arguments.folder.as_deref(), "the folder to check")?;
    let config = folder::load(Path::new(&folder)).map_err(|error| Error::failed(&error))?;
    println!(
        "{folder}: {} zones, {} services, {} organisations, no problems",
        config.zones.len(),
        config.services.len(),
        config.organisations.len()
    );
    Ok(())
}
