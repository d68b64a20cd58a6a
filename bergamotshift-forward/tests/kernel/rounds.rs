//! When an entry asks the others.

use core::time::Duration;

use bergamotshift_forward::peers::Rounds;

/// How long callers wait for somebody to decide before they are refused.
const WAIT: Duration = Duration::from_millis(300);

/// Guards against callers of a fleet that lost power who are refused, since an entry that is back waits for one that is not
/// and hears nobody else meanwhile. The pattern: all entries are back within half a second, in any order.
#[test]
fn an_entry_that_is_not_back_yet_holds_no_other_question_up() {
    let mut rounds = Rounds::default();
    // The first one asked is silent, the second one answers at once.
    let first = rounds.next(true);
    let second = rounds.next(true);
    assert!(first.delay + first.timeout + second.delay < WAIT);
}

#[test]
fn an_entry_that_knows_who_decides_asks_at_leisure() {
    let mut rounds = Rounds::default();
    let quick = rounds.next(true);
    let usual = rounds.next(false);
    assert!(usual.delay > quick.delay && usual.timeout > quick.timeout);
}

/// Guards against a process that finds nobody and asks many times a second for good.
#[test]
fn an_entry_that_finds_nobody_slows_down() {
    let mut rounds = Rounds::default();
    let paces: Vec<_> = (0..40).map(|_| rounds.next(true)).collect();
    assert!(paces[39].delay > paces[0].delay);
    let quick = paces.iter().filter(|round| round.delay == paces[0].delay).count();
    assert!(quick < 40);
}
