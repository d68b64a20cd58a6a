//! `review-standins-2`: plays a case of the review, or a worker of one.
//!
//! `review-standins-2 CASE RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! the variable `TROUBLE` set to `0` it does the same without the disruption.

mod cases;
mod config;
mod fleet;
mod http;
mod proxy;
mod record;
mod worker;

use std::env;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use crate::cases::Verdict;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker::Habit;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let outcome = match words[..] {
        ["worker", id, work, idle, framing, health, deadly] => work_as(id, work, idle, framing, health, deadly),
        [name, record] => play(name, Path::new(record)),
        _ => Err(io::Error::other("usage: review-standins-2 CASE RECORD")),
    };
    match outcome {
        Ok(Verdict::Kept) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn work_as(id: &str, work: &str, idle: &str, framing: &str, health: &str, deadly: &str) -> io::Result<Verdict> {
    let millis = |text: &str| text.parse().map(Duration::from_millis).map_err(io::Error::other);
    worker::serve(&Habit {
        id: id.to_owned(),
        work: millis(work)?,
        idle: millis(idle)?,
        is_unframed: framing == "unframed",
        fails: health == "fails",
        deadly: Some(deadly.to_owned()).filter(|deadly| !deadly.is_empty()),
    })?;
    Ok(Verdict::Kept)
}

fn play(name: &str, path: &Path) -> io::Result<Verdict> {
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::create(path)?;
    let mut fleet = Fleet::start(record.clone())?;
    let verdict = match name {
        "idle" => cases::idle(&mut fleet, has_trouble),
        "popular" => cases::popular(&mut fleet, has_trouble),
        "refused" => cases::refused(&mut fleet, has_trouble),
        "upgrade" => cases::upgrade(&mut fleet, has_trouble),
        "lossy" => cases::lossy(&mut fleet, has_trouble),
        "emptied" => cases::emptied(&mut fleet, has_trouble),
        "deadly" => cases::deadly(&mut fleet, has_trouble),
        _ => Err(io::Error::other("no such case")),
    }?;
    record.add(&format!("verdict: {verdict:?}"));
    println!("{verdict:?}");
    Ok(verdict)
}
