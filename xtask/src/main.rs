//! Chores of the repository, run as `cargo xtask CHORE`.

use core::time::Duration;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use xtask::error::Error;
use xtask::lines;
use xtask::links;
use xtask::names;
use xtask::repeat;
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
    #[options(help = "run a command many times and count how it ended")]
    Repeat(Repeat),
}

/// A chore without flags of its own.
#[derive(Debug)]
#[derive(Options)]
struct Plain {
    #[options(help = "print this text")]
    help: bool,
}

/// Flags of the chore that repeats a command.
#[derive(Debug)]
#[derive(Options)]
struct Repeat {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "how many runs", meta = "N", no_short, default = "1")]
    count: u64,
    #[options(help = "how many runs at a time", meta = "N", no_short, default = "1")]
    jobs: u64,
    #[options(help = "how many threads are busy meanwhile", meta = "N", no_short, default = "0")]
    busy: u64,
    #[options(
        help = "after how many seconds a run counts as hanging",
        meta = "S",
        no_short,
        default = "600"
    )]
    limit: u64,
    #[options(
        help = "where the outputs of runs that did not pass are kept",
        meta = "FOLDER",
        no_short,
        default = "target/repeat"
    )]
    folder: PathBuf,
    #[options(free, help = "the command, after `--`")]
    command: Vec<String>,
}

/// Repeats a command and prints how its runs ended.
fn repeat(flags: Repeat) -> Result<(), Error> {
    let tally = repeat::run(&repeat::Settings {
        command: flags.command,
        count: flags.count,
        jobs: flags.jobs,
        busy: flags.busy,
        limit: Duration::from_secs(flags.limit),
        folder: flags.folder,
    })?;
    let repeat::Tally { passed, failed, hung } = tally;
    println!(
        "{} runs: {passed} ended well, {failed} failed, {hung} hung",
        flags.count
    );
    if passed == flags.count {
        return Ok(());
    }
    Err(Error::Step("not all runs ended well".to_owned()))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let root = steps::root();
    let result = match arguments.chore {
        Some(Chore::Links(_)) => links::check(&root),
        Some(Chore::Lines(_)) => lines::check(&root),
        Some(Chore::Names(_)) => names::check(&root),
        Some(Chore::Ci(_)) => steps::ci(&root),
        Some(Chore::Repeat(flags)) => repeat(flags),
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
