//! A short soak of the program itself: every step of the plan comes from the seed, and every promise must hold whatever
//! the order in which the machine lets things happen.

use core::time::Duration;
use std::path::PathBuf;

use bergamotshift_soak::Settings;
use bergamotshift_soak::plan::Size;
use bergamotshift_soak::run;

fn soak(settings: &Settings) {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let settings = Settings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_bergamotshift")),
        folder: folder.path().to_owned(),
        size: Size {
            entries: 3,
            endpoints: 2,
            span: Duration::from_secs(6),
        },
        callers: 8,
        ..settings.clone()
    };
    let report = run(&settings).expect("the processes start");
    assert_eq!(report.broken, [], "seed {}: {report:?}", settings.seed);
    assert!(report.steps > 0 && report.served > 0, "{report:?}");
}

#[test]
fn promises_hold_while_everything_is_harmed() {
    soak(&Settings {
        seed: 3,
        ..Settings::default()
    });
}

// All entries stop, and callers, who have nowhere else to go, connect to the last moment. An entry that had answered its
// last request used to leave its socket open for a third of a second: whoever connected then was never read, and waited
// until the process was gone.
#[test]
fn who_connects_to_an_entry_that_ends_does_not_wait() {
    soak(&Settings {
        seed: 8,
        connects: Duration::MAX,
        ..Settings::default()
    });
}

/// Guards against requests beyond what endpoints say of themselves while entries are killed, stopped and cut off.
#[test]
fn promises_to_endpoints_hold_while_everything_is_harmed() {
    soak(&Settings {
        seed: 50,
        notices: true,
        ..Settings::default()
    });
}

/// Guards against promises that are broken when the store comes back from a copy.
#[test]
fn promises_hold_while_the_store_is_restored() {
    soak(&Settings {
        seed: 52,
        restores: true,
        ..Settings::default()
    });
}

/// Guards against a request that crashes one endpoint after the other while entries are killed, stopped and cut off.
#[test]
fn a_crashing_request_is_stopped_while_everything_is_harmed() {
    soak(&Settings {
        seed: 53,
        crashes: true,
        ..Settings::default()
    });
}

/// Guards against a part of prompts that crashes one endpoint after the other while entries are killed, stopped and cut off.
#[test]
fn a_crashing_part_is_stopped_while_everything_is_harmed() {
    soak(&Settings {
        seed: 54,
        parts: true,
        ..Settings::default()
    });
}

/// Guards against part of an answer without framing that looks complete, as its endpoint's process ends or starts again within it.
#[test]
fn answers_without_framing_are_whole_while_endpoints_end_within_them() {
    soak(&Settings {
        seed: 1202,
        unframed: true,
        ..Settings::default()
    });
}

/// Guards against promises that are broken while crowds of clients hold unfinished requests open.
#[test]
fn promises_hold_beside_crowds() {
    soak(&Settings {
        seed: 1201,
        crowds: true,
        ..Settings::default()
    });
}

/// Guards against requests that ran and are called unrun, as their endpoints failed them with a status of a refusal.
#[test]
fn what_endpoints_fail_after_a_run_is_not_called_unrun() {
    soak(&Settings {
        seed: 7_001,
        failures: true,
        ..Settings::default()
    });
}
