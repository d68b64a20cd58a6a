//! `bergamotshift-soak`: makes soak runs from seeds, several at a time, and prints a line for each.

use core::num::NonZeroU64;
use core::time::Duration;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use bergamotshift_soak::Report;
use bergamotshift_soak::Settings;
use bergamotshift_soak::demand::Summary;
use bergamotshift_soak::release;
use bergamotshift_soak::run;
use gumdrop::Options;

/// Arguments.
#[expect(clippy::struct_excessive_bools, reason = "each is a flag of its own")]
#[derive(Debug)]
#[derive(Options)]
struct Arguments {
    #[options(help = "print this text")]
    help: bool,
    #[options(
        help = "the program",
        meta = "FILE",
        no_short,
        default = "target/release/bergamotshift"
    )]
    program: PathBuf,
    #[options(
        help = "where settings and logs are kept",
        meta = "FOLDER",
        no_short,
        default = "target/soak"
    )]
    folder: PathBuf,
    #[options(help = "the first seed", meta = "N", no_short, default = "1")]
    seed: u64,
    #[options(help = "how many seeds", meta = "N", no_short, default = "1")]
    seeds: NonZeroU64,
    #[options(help = "how many runs at a time", meta = "N", no_short, default = "2")]
    jobs: NonZeroU64,
    #[options(help = "how many entries", meta = "N", no_short, default = "4")]
    entries: usize,
    #[options(help = "how long things happen, in seconds", meta = "S", no_short, default = "20")]
    seconds: u64,
    #[options(help = "let callers connect to an entry until it is gone", no_short)]
    unbalanced: bool,
    #[options(
        help = "let endpoints name rates, say that they leave and turn away for a time",
        no_short
    )]
    notices: bool,
    #[options(help = "restore the store from copies", no_short)]
    restores: bool,
    #[options(help = "cut entries off from all endpoints at times", no_short)]
    cuts: bool,
    #[options(help = "let services tolerate few rejections at times", no_short)]
    tolerances: bool,
    #[options(help = "send a request that crashes endpoints again and again", no_short)]
    crashes: bool,
    #[options(help = "send requests with a part of their prompts that crashes endpoints", no_short)]
    parts: bool,
    #[options(
        help = "let endpoints of two versions serve, and callers take up streams that broke off",
        no_short
    )]
    versions: bool,
    #[options(
        help = "release versions of a service while entries are in trouble, and take up streams that broke off",
        no_short
    )]
    releases: bool,
    #[options(help = "cut entries off from each other while versions are released", no_short)]
    partitions: bool,
    #[options(
        help = "let organisations overload model engines whose speeds differ and change",
        no_short
    )]
    hard_load: bool,
    #[options(
        help = "let endpoints pause, one, half or all of a service at a time, while limits change",
        no_short
    )]
    pauses: bool,
    #[options(
        help = "let endpoints answer without framing, and end or start again within answers",
        no_short
    )]
    unframed: bool,
    #[options(
        help = "let endpoints fail requests that they have run and close idle connections, beside odd registrations",
        no_short
    )]
    failures: bool,
    #[options(help = "let crowds of clients hold unfinished requests open", no_short)]
    crowds: bool,
}

/// The endpoints of each service with `--pauses` and `--releases`.
const MORE: usize = 4;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let next = AtomicU64::new(arguments.seed);
    let end = arguments.seed.saturating_add(arguments.seeds.get());
    let red = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..arguments.jobs.get() {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    if !play(&arguments, seed) {
                        red.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let red = red.into_inner();
    println!("{} seeds, {red} of them red", arguments.seeds);
    if red == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Makes one run and prints what came of it; returns whether all promises were kept.
fn play(arguments: &Arguments, seed: u64) -> bool {
    let folder = arguments.folder.join(seed.to_string());
    let mut settings = Settings {
        program: arguments.program.clone(),
        folder: folder.clone(),
        seed,
        ..Settings::default()
    };
    settings.notices = arguments.notices;
    settings.restores = arguments.restores;
    settings.cuts = arguments.cuts;
    settings.tolerances = arguments.tolerances;
    settings.crashes = arguments.crashes;
    settings.parts = arguments.parts;
    settings.versions = arguments.versions;
    settings.releases = arguments.releases;
    settings.partitions = arguments.partitions;
    settings.hard_load = arguments.hard_load;
    settings.pauses = arguments.pauses;
    settings.unframed = arguments.unframed;
    settings.failures = arguments.failures;
    settings.crowds = arguments.crowds;
    if arguments.pauses || arguments.releases {
        settings.size.endpoints = MORE;
    }
    settings.size.entries = arguments.entries;
    settings.size.span = Duration::from_secs(arguments.seconds);
    if arguments.unbalanced {
        settings.connects = Duration::MAX;
    }
    match run(&settings) {
        Ok(report) => {
            print(seed, &report, &folder);
            report.broken.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: not run: {error}");
            false
        }
    }
}

fn print(seed: u64, report: &Report, folder: &Path) {
    let Report {
        exchanges,
        served,
        arrivals,
        steps,
        reports,
        engines,
        taken_up,
        broken,
    } = report;
    let verdict = if broken.is_empty() { "kept" } else { "BROKEN" };
    println!(
        "seed {seed}: {verdict}; {steps} steps, {exchanges} requests, {served} served, {arrivals} at endpoints, \
         {reports} usage reports"
    );
    if engines.attempts > 0 {
        let Summary {
            attempts,
            returns,
            served,
            refused,
        } = engines;
        println!(
            "seed {seed}: engines: {attempts} attempts, {returns} of them returns; {served} served, {refused} refused"
        );
    }
    if taken_up.taken_up > 0 {
        let release::Summary {
            taken_up,
            went_on,
            refused,
            joined,
            calm,
            new,
        } = taken_up;
        println!(
            "seed {seed}: streams: {taken_up} taken up, {went_on} went on, {refused} refused, {joined} joined; without \
             trouble near {} of {} went on, {} of {} new ones were served",
            calm.1, calm.0, new.1, new.0
        );
    }
    for broken in broken {
        println!(
            "seed {seed}:   {}: {} (logs: {})",
            broken.promise,
            broken.what,
            folder.display()
        );
    }
}
