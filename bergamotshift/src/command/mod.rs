//! The commands of the one binary.
//!
//! Each command is a file with its arguments and one function; this module reads the command line, fills open flags
//! from the environment and turns errors into exit codes.

use std::process::ExitCode;

use gumdrop::Options;

use crate::environment::Environment;
use crate::environment::Fields;
use crate::error::Error;

pub mod config;
pub mod demo;
pub mod entry;
pub mod forward;
pub mod load;
mod replay;
pub mod status;
pub mod version;

/// The command line as a whole.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What the program can be asked to do.
#[derive(Debug)]
#[derive(Options)]
pub enum Command {
    /// Run an entry.
    #[options(help = "run an entry, the daemon that serves callers")]
    Entry(entry::Arguments),
    /// Run a forwarding daemon.
    #[options(help = "run a forwarding daemon, which passes requests on unchanged by host and path")]
    Forward(forward::Arguments),
    /// Work on the operators' folder.
    #[options(help = "check the operators' folder")]
    Config(config::Arguments),
    /// Show how entries stand.
    #[options(help = "show how entries stand: members, endpoints, zones, what is cut off")]
    Status(status::Arguments),
    /// Run a whole deployment on loopback.
    #[options(help = "run a whole deployment of stand-ins and entries on loopback")]
    Demo(demo::Arguments),
    /// Send load.
    #[options(help = "send open-loop load to entries on this machine and check the promises")]
    Load(load::Arguments),
    /// Print the version.
    #[options(help = "print the version")]
    Version(version::Arguments),
}

impl Command {
    /// Returns every flag of the command that takes a value, with the place of its text.
    pub fn fields(&mut self) -> Vec<crate::environment::Field<'_>> {
        match self {
            Self::Entry(arguments) => arguments.fields(),
            Self::Forward(arguments) => arguments.fields(),
            Self::Config(arguments) => arguments.fields(),
            Self::Demo(arguments) => arguments.fields(),
            Self::Status(arguments) => arguments.fields(),
            Self::Load(arguments) => arguments.fields(),
            Self::Version(arguments) => arguments.fields(),
        }
    }

    fn run(&self) -> Result<(), Error> {
        match self {
            Self::Entry(arguments) => entry::run(arguments),
            Self::Forward(arguments) => forward::run(arguments),
            Self::Config(arguments) => config::run(arguments),
            Self::Demo(arguments) => demo::run(arguments),
            Self::Status(arguments) => status::run(arguments),
            Self::Load(arguments) => load::run(arguments),
            Self::Version(arguments) => version::run(arguments),
        }
    }
}

/// Runs the program with these arguments (without the program's own name) and returns its exit code.
pub fn run(arguments: &[String], environment: &Environment) -> ExitCode {
    match dispatch(arguments, environment) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bergamotshift: {error}");
            error.code()
        }
    }
}

fn dispatch(arguments: &[String], environment: &Environment) -> Result<(), Error> {
    let parsed = Arguments::parse_args_default(arguments).map_err(|error| Error::Usage(error.to_string()))?;
    let Some(mut command) = parsed.command else {
        return overview(parsed.help);
    };
    if command.help_requested() {
        println!("{}", usage(&mut command));
        return Ok(());
    }
    environment.fill(&mut command.fields());
    command.run()
}

fn overview(wanted: bool) -> Result<(), Error> {
    if !wanted {
        return Err(Error::Usage("no command is given".to_owned()));
    }
    let commands = Arguments::command_list().unwrap_or_default();
    println!(
        "Usage: bergamotshift COMMAND [FLAGS]\n\n{}\n\nCommands:\n{commands}",
        Arguments::usage()
    );
    Ok(())
}

/// Returns a command's usage text, with the variable of each flag.
pub fn usage(command: &mut Command) -> String {
    let name = command.command_name().unwrap_or_default();
    let flags = command.self_usage();
    let variables: Vec<String> = command
        .fields()
        .iter()
        .map(|(flag, _)| format!("  --{flag:<20} {}", crate::environment::variable(flag)))
        .collect();
    let mut text = format!("Usage: bergamotshift {name} [FLAGS]\n\n{flags}");
    if !variables.is_empty() {
        text.push_str("\n\nEach flag can be given as a variable instead; the flag goes first:\n");
        text.push_str(&variables.join("\n"));
    }
    text
}
