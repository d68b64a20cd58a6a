//! Who asks the store, and when.

use core::time::Duration;

use bergamotshift_forward::follow::Checkpoint;
use bergamotshift_forward::follow::scale_pause;
use bergamotshift_forward::outside::Cursor;

use crate::support::at;

const LOOK: Duration = Duration::from_millis(500);

#[test]
fn who_knows_nothing_asks_at_once() {
    assert_eq!(Checkpoint::default().due(at(0), LOOK, 3), Duration::ZERO);
}

#[test]
fn the_first_in_rank_asks_before_the_others() {
    let mut knowledge = Checkpoint::default();
    knowledge.confirm(at(0), Cursor(7), Duration::ZERO);
    assert_eq!(knowledge.due(at(0), LOOK, 0), LOOK);
    assert!(knowledge.due(at(0), LOOK, 1) > LOOK);
    assert_eq!(knowledge.due(at(0), LOOK, 9), knowledge.due(at(0), LOOK, 90));
}

/// The first in rank is gone, and nobody has said so yet. The others' knowledge grows old, and they ask for themselves
/// well inside the two seconds within which a change has to be in force.
#[test]
fn no_entry_waits_longer_than_a_second_and_a_half() {
    let mut knowledge = Checkpoint::default();
    knowledge.confirm(at(0), Cursor(7), Duration::ZERO);
    let document = Duration::from_millis(800);
    assert!(knowledge.due(at(0), document, usize::MAX) <= Duration::from_millis(1_500));
}

#[test]
fn older_news_change_nothing() {
    let mut knowledge = Checkpoint::default();
    knowledge.confirm(at(1_000), Cursor(7), Duration::ZERO);
    knowledge.confirm(at(1_000), Cursor(6), Duration::ZERO);
    knowledge.confirm(at(1_000), Cursor(7), Duration::from_millis(900));
    assert_eq!(knowledge.cursor(), Cursor(7));
    assert_eq!(knowledge.age(at(1_000)), Some(Duration::ZERO));
}

/// The store is away, and every entry asks again and again whether it is back. However many there are, all together ask no
/// more often than a small fleet does.
#[test]
fn a_large_fleet_asks_a_store_that_fails_no_more_often_than_a_small_one() {
    let asked = |members: usize| members as f64 / scale_pause(LOOK, members).as_secs_f64();
    assert_eq!(scale_pause(LOOK, 7), LOOK);
    for members in 16..400 {
        assert!(asked(members) <= asked(16), "{members} entries");
    }
}
