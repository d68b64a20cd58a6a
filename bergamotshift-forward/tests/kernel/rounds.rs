//! Timing of the rounds in which an entry exchanges states with others.

use core::time::Duration;

use bergamotshift_forward::peers::Rounds;

/// Time after which callers are refused if no keeper is known.
const WAIT: Duration = Duration::from_millis(300);

/// Guards against refused callers after a power loss: an entry that is back must not wait long for one that is not,
/// before it contacts others. All entries come back within half a second, in any order.
#[test]
fn an_entry_that_is_not_back_yet_holds_no_other_question_up() {
    let mut rounds = Rounds::default();
    // The first entry contacted does not reply, the second one replies at once.
    let first = rounds.next(true);
    let second = rounds.next(true);
    assert!(first.delay + first.timeout + second.delay < WAIT);
}

#[test]
fn rounds_are_slower_once_the_keeper_is_known() {
    let mut rounds = Rounds::default();
    let quick = rounds.next(true);
    let usual = rounds.next(false);
    assert!(usual.delay > quick.delay && usual.timeout > quick.timeout);
}

/// Guards against a process without peers that keeps contacting others many times a second.
#[test]
fn an_entry_without_peers_slows_down() {
    let mut rounds = Rounds::default();
    let made: Vec<_> = (0..40).map(|_| rounds.next(true)).collect();
    assert!(made[39].delay > made[0].delay);
    let quick = made.iter().filter(|round| round.delay == made[0].delay).count();
    assert!(quick < 40);
}
