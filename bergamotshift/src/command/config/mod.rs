//! `bergamotshift config`: the operators' folder and its accepted versions.

mod apply;
mod base;
mod check;
mod diff;
mod history;
mod platform;
mod show;

use gumdrop::Options;

use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;

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
    Check(check::Arguments),
    /// Compare a folder.
    #[options(help = "print what a folder would change, against the accepted version or another folder")]
    Diff(diff::Arguments),
    /// Make a folder the accepted version.
    #[options(help = "make a folder the accepted version, in force everywhere")]
    Apply(apply::Arguments),
    /// Print or fetch a version.
    #[options(help = "print a version, or write its files into a folder")]
    Show(show::Arguments),
    /// List the versions.
    #[options(help = "list the accepted versions")]
    History(history::Arguments),
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        match &mut self.action {
            Some(Action::Check(arguments)) => arguments.fields(),
            Some(Action::Diff(arguments)) => arguments.fields(),
            Some(Action::Apply(arguments)) => arguments.fields(),
            Some(Action::Show(arguments)) => arguments.fields(),
            Some(Action::History(arguments)) => arguments.fields(),
            None => Vec::new(),
        }
    }
}

/// Runs the action.
///
/// # Errors
///
/// Returns what the action ran into, and [`Error::Usage`] when none is given.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    match &arguments.action {
        Some(Action::Check(arguments)) => check::run(arguments),
        Some(Action::Diff(arguments)) => diff::run(arguments),
        Some(Action::Apply(arguments)) => apply::run(arguments),
        Some(Action::Show(arguments)) => show::run(arguments),
        Some(Action::History(arguments)) => history::run(arguments),
        None => Err(Error::Usage(
            "config needs an action: check, diff, apply, show or history".to_owned(),
        )),
    }
}
