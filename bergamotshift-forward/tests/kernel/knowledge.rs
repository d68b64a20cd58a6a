//! Tests of when an entry reads the store itself.

use core::time::Duration;

use bergamotshift_forward::follow::Alarm;
use bergamotshift_forward::follow::Checkpoint;
use bergamotshift_forward::follow::FirstRead;
use bergamotshift_forward::follow::MAX_AGE;
use bergamotshift_forward::follow::Transition;
use bergamotshift_forward::follow::Turn;
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
    assert_eq!(
        Checkpoint::default().due(at(0), INTERVAL, Turn::Reader(3)),
        Duration::ZERO
    );
}

#[test]
fn the_first_entry_in_order_reads_before_the_others() {
    let mut checkpoint = Checkpoint::default();
    checkpoint.confirm(at(0), cursor(7), Duration::ZERO);
    assert_eq!(checkpoint.due(at(0), INTERVAL, Turn::Reader(0)), INTERVAL);
    assert!(checkpoint.due(at(0), INTERVAL, Turn::Reader(1)) > INTERVAL);
    assert_eq!(
        checkpoint.due(at(0), INTERVAL, Turn::Reader(9)),
        checkpoint.due(at(0), INTERVAL, Turn::Reader(90))
    );
}

/// The first entry in order has died, and this is not known yet. The others must read the store themselves well within
/// the two seconds in which a change has to be in force.
#[test]
fn no_entry_waits_longer_than_a_second_and_a_half() {
    let mut checkpoint = Checkpoint::default();
    checkpoint.confirm(at(0), cursor(7), Duration::ZERO);
    let document = Duration::from_millis(800);
    assert!(checkpoint.due(at(0), document, Turn::Reader(usize::MAX)) <= Duration::from_millis(1_500));
}

/// Guards against followers that read the store although their keeper is about to inform them, and against followers that
/// wait for it for so long that an endpoint which leaves is in use beyond the three seconds that operators of large fleets
/// allow. Once one of them has read, its zone knows within another second.
#[test]
fn followers_wait_for_their_keeper_but_not_for_long() {
    let mut checkpoint = Checkpoint::default();
    checkpoint.confirm(at(0), cursor(7), Duration::ZERO);
    for members in [4, 20, 50, 164, 328, 1_000] {
        let due = |place| checkpoint.due(at(0), INTERVAL, Turn::Follower { place, members });
        assert!(due(1) >= INTERVAL + Duration::from_millis(750));
        assert!(due(2) > due(1));
        assert!(
            due(usize::MAX) <= Duration::from_millis(2_600),
            "{members}: {:?}",
            due(usize::MAX)
        );
    }
    let bound = Duration::from_secs(2);
    let due = checkpoint.due(at(0), INTERVAL, Turn::Follower { place: 1, members: 20 });
    assert!(due <= bound, "{due:?}");
}

/// Guards against the first entries in order that pause for the whole fleet's sake after one call failed: at 986 entries
/// they would not call the store for a quarter of a minute.
#[test]
fn readers_do_not_pause_longer_in_a_larger_fleet() {
    let follower = Turn::Follower { place: 1, members: 164 };
    assert_eq!(Turn::Reader(2).scale_pause(INTERVAL, 986), INTERVAL);
    assert_eq!(follower.scale_pause(INTERVAL, 986), scale_pause(INTERVAL, 986));
    assert_eq!(Turn::Reader(300).scale_pause(INTERVAL, 986), scale_pause(INTERVAL, 986));
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

/// Duration of a call of the store, in milliseconds.
const CALL_MS: u64 = 4;

/// Time for which no entry confirms another one's registrations after a restore, in milliseconds.
const UNSETTLED_MS: u64 = 2_300;

/// Returns the largest number of calls in a second, from a restore of the store until entries confirm each other's
/// registrations again. Each entry's first call ends with a gap, and it reads everything next.
fn calls_after_restore(entries: usize) -> usize {
    let mut calls = Vec::new();
    for rank in 0..entries {
        let mut checkpoint = Checkpoint::default();
        checkpoint.confirm(at(10_000), cursor(7), Duration::from_millis(rank as u64 * 37 % 500));
        let mut now = 10_000;
        let mut needs_full_read = false;
        while now < 10_000 + UNSETTLED_MS {
            let due = checkpoint.due(at(now), INTERVAL, Turn::Reader(rank));
            now += due.as_millis() as u64;
            calls.push(now);
            now += CALL_MS;
            needs_full_read = !needs_full_read && checkpoint.cursor().era == 0;
            if !needs_full_read {
                checkpoint.confirm(at(now), Cursor { era: 1, version: 3 }, Duration::ZERO);
            }
        }
    }
    calls.sort_unstable();
    let in_second = |from: &u64| {
        calls
            .iter()
            .filter(|call| (*from..from + 1_000).contains(*call))
            .count()
    };
    calls.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against a rush of reads when all entries find the store restored: they have to stay within a tenth of the
/// store's rate, which is for all calls together.
#[test]
fn a_restored_store_is_read_well_within_its_rate() {
    for (entries, reads_per_second) in [(7, 2_000), (66, 6_000), (295, 16_000)] {
        let calls = calls_after_restore(entries);
        println!("{entries} entries: {calls} calls in the busiest second");
        assert!(
            calls <= reads_per_second / 10,
            "{entries} entries: {calls} calls in a second"
        );
    }
}

/// Guards against registrations that grow old unnoticed, because the store answers each call and tells nothing new.
#[test]
fn an_outdated_checkpoint_raises_one_alarm_until_it_is_renewed() {
    let mut alarm = Alarm::default();
    let second = Duration::from_secs(1);
    assert_eq!(alarm.update(at(0), None), None);
    assert_eq!(alarm.update(at(0), Some(MAX_AGE)), None);
    assert_eq!(
        alarm.update(at(1_000), Some(MAX_AGE + second)),
        Some(Transition::Outdated)
    );
    assert_eq!(alarm.update(at(2_000), Some(MAX_AGE + 2 * second)), None);
    assert_eq!(
        alarm.update(at(4_000), Some(Duration::ZERO)),
        Some(Transition::Renewed(3 * second))
    );
    assert_eq!(alarm.update(at(5_000), Some(second)), None);
}

/// Guards against a start of all entries at which each reads the whole store: with 986 entries 12,700 calls in ten seconds.
#[test]
fn an_entry_that_starts_reads_only_what_no_other_one_provides() {
    let after = |name: &str| FirstRead::after(&name.into());
    let start = Duration::ZERO;
    assert_eq!(FirstRead::AtOnce.due(start, 986, true), Duration::ZERO);
    let names: Vec<String> = (0..986).map(|number| format!("entry-{number}")).collect();
    let due = |members, is_given| -> Vec<Duration> {
        names
            .iter()
            .map(|name| after(name).due(start, members, is_given))
            .collect()
    };
    let in_first_second = due(986, false).iter().filter(|due| due.as_secs() < 1).count();
    assert!(in_first_second <= 300, "{in_first_second} read within a second");
    // Callers of a small fleet wait for 400 ms.
    assert!(due(7, false).iter().all(|due| *due <= Duration::from_millis(400)));
    // An entry that cannot get what others have reads it all the same.
    assert!(due(986, true).iter().all(|due| *due == Duration::from_secs(3)));
    assert_eq!(after("a").due(Duration::from_secs(3), 986, true), Duration::ZERO);
}
