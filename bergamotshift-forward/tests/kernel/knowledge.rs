//! Tests of when an entry reads the store itself.

use core::time::Duration;

use bergamotshift_forward::follow::Checkpoint;
use bergamotshift_forward::follow::scale_pause;
use bergamotshift_forward::outside::Cursor;

use crate::support::at;

/// Returns a position of the first era.
fn cursor(version: u64) -> Cursor {
    Cursor { era: 0, version }
}

const INTERVAL: Duration = Duration::from_millis(500);

#[test]
fn an_entry_without_a_checkpoint_reads_at_once() {
    assert_eq!(Checkpoint::default().due(at(0), INTERVAL, 3), Duration::ZERO);
}

#[test]
fn the_first_entry_in_rank_reads_before_the_others() {
    let mut checkpoint = Checkpoint::default();
    checkpoint.confirm(at(0), cursor(7), Duration::ZERO);
    assert_eq!(checkpoint.due(at(0), INTERVAL, 0), INTERVAL);
    assert!(checkpoint.due(at(0), INTERVAL, 1) > INTERVAL);
    assert_eq!(checkpoint.due(at(0), INTERVAL, 9), checkpoint.due(at(0), INTERVAL, 90));
}

/// The first entry in rank has died, and this is not known yet. The others must read the store themselves well within
/// the two seconds in which a change has to be in force.
#[test]
fn no_entry_waits_longer_than_a_second_and_a_half() {
    let mut checkpoint = Checkpoint::default();
    checkpoint.confirm(at(0), cursor(7), Duration::ZERO);
    let document = Duration::from_millis(800);
    assert!(checkpoint.due(at(0), document, usize::MAX) <= Duration::from_millis(1_500));
}

#[test]
fn older_confirmations_are_ignored() {
    let mut checkpoint = Checkpoint::default();
    checkpoint.confirm(at(1_000), cursor(7), Duration::ZERO);
    checkpoint.confirm(at(1_000), cursor(6), Duration::ZERO);
    checkpoint.confirm(at(1_000), cursor(7), Duration::from_millis(900));
    assert_eq!(checkpoint.cursor(), cursor(7));
    assert_eq!(checkpoint.age(at(1_000)), Some(Duration::ZERO));
}

/// Guards against a checkpoint that keeps its position after the store was restored and its versions went back.
#[test]
fn a_lower_version_of_a_later_era_is_confirmed() {
    let restored = Cursor { era: 1, version: 3 };
    let mut checkpoint = Checkpoint::default();
    checkpoint.confirm(at(0), cursor(7), Duration::ZERO);
    checkpoint.confirm(at(5_000), restored, Duration::ZERO);
    checkpoint.confirm(at(6_000), cursor(8), Duration::ZERO);
    assert_eq!(checkpoint.cursor(), restored);
    assert_eq!(checkpoint.age(at(5_000)), Some(Duration::ZERO));
}

/// All entries retry the store during an outage. Regardless of their number, together they must not call it more often
/// than a small fleet.
#[test]
fn a_large_fleet_asks_a_store_that_fails_no_more_often_than_a_small_one() {
    let call_rate = |members: usize| members as f64 / scale_pause(INTERVAL, members).as_secs_f64();
    assert_eq!(scale_pause(INTERVAL, 7), INTERVAL);
    for members in 16..400 {
        assert!(call_rate(members) <= call_rate(16), "{members} entries");
    }
}
