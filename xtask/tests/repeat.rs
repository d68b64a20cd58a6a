//! How repeated runs are counted.

use core::time::Duration;
use std::path::Path;

use xtask::repeat;
use xtask::repeat::Settings;
use xtask::repeat::Tally;

fn settings(name: &str, command: &[&str]) -> Settings {
    Settings {
        command: command.iter().map(|&part| part.to_owned()).collect(),
        count: 6,
        jobs: 2,
        folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(name),
        ..Settings::default()
    }
}

#[test]
fn runs_are_counted_by_how_they_ended() {
    let passed = repeat::run(&settings("passed", &["true"])).expect("it runs");
    assert_eq!(
        passed,
        Tally {
            passed: 6,
            ..Tally::default()
        }
    );
    let failed = repeat::run(&settings("failed", &["sh", "-c", "echo seen; exit 3"])).expect("it runs");
    assert_eq!(
        failed,
        Tally {
            failed: 6,
            ..Tally::default()
        }
    );
}

#[test]
fn the_output_of_a_run_that_failed_is_kept() {
    let settings = settings("kept", &["sh", "-c", "echo seen; exit 3"]);
    repeat::run(&settings).expect("it runs");
    let output = std::fs::read_to_string(settings.folder.join("5.txt")).expect("the output is there");
    assert_eq!(output, "seen\n");
}

#[test]
fn a_run_that_does_not_end_in_time_counts_as_hanging() {
    let settings = Settings {
        limit: Duration::ZERO,
        ..settings("hung", &["sleep", "600"])
    };
    let hung = repeat::run(&settings).expect("it runs");
    assert_eq!(
        hung,
        Tally {
            hung: 6,
            ..Tally::default()
        }
    );
}

#[test]
fn nothing_to_repeat_is_an_error() {
    repeat::run(&settings("nothing", &[])).expect_err("there is no command");
}
