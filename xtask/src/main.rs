//! Chores of the repository, run as `cargo xtask CHORE`.

use std::process::ExitCode;

use gumdrop::Options;
use xtask::lines;
use xtask::links;
use xtask::names;
use xtask::steps;

/// The command line.
#[derive(Debug)]
#[derive(Options)]
struct Arguments {
    #[options(help = "print this text")]
    help: bool,
    #[options(command)]
    chore: Option<Chore>,
}

#[derive(Debug)]
#[derive(Options)]
enum Chore {
    #[options(help = "check that every relative link of the pages leads to a file")]
    Links(Plain),
    #[options(help = "list source files that have grown long")]
    Lines(Plain),
    #[options(help = "check that every test that the pages name exists")]
    Names(Plain),
    #[options(help = "run what CI runs, step by step")]
    Ci(Plain),
}

/// A chore without flags of its own.
#[derive(Debug)]
#[derive(Options)]
struct Plain {
    #[options(help = "print this text")]
    help: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let root = steps::root();
    let result = match arguments.chore {
        Some(Chore::Links(_)) => links::check(&root),
        Some(Chore::Lines(_)) => lines::check(&root),
        Some(Chore::Names(_)) => names::check(&root),
        Some(Chore::Ci(_)) => steps::ci(&root),
        None => {
            println!("{}", Arguments::usage());
            println!("\nChores:\n{}", Arguments::command_list().unwrap_or_default());
            return ExitCode::SUCCESS;
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}
