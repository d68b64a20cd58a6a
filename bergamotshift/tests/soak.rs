//! A short soak of the program itself: every step of the plan comes from the seed, and every promise must hold whatever
//! the order in which the machine lets things happen.

use core::time::Duration;
use std::path::PathBuf;

use bergamotshift_soak::Settings;
use bergamotshift_soak::plan::Size;
use bergamotshift_soak::run;

fn soak(seed: u64, connects: Duration) {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let report = run(&Settings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_bergamotshift")),
        folder: folder.path().to_owned(),
        seed,
        size: Size {
            entries: 3,
            endpoints: 2,
            span: Duration::from_secs(6),
        },
        callers: 8,
        connects,
    })
    .expect("the processes start");
    assert_eq!(report.broken, [], "seed {seed}: {report:?}");
    assert!(report.steps > 0 && report.served > 0, "{report:?}");
}

#[test]
fn promises_hold_while_everything_is_harmed() {
    soak(3, Settings::default().connects);
}

// All entries stop, and callers, who have nowhere else to go, connect to the last moment. An entry that had answered its
// last request used to leave its socket open for a third of a second: whoever connected then was never read, and waited
// until the process was gone.
#[test]
fn who_connects_to_an_entry_that_ends_does_not_wait() {
    soak(8, Duration::MAX);
}
