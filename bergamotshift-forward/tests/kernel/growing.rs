//! A limit while a fleet grows from entries that decide for themselves to one that has a keeper.

use bergamotshift_forward::limits::Account;
use bergamotshift_forward::limits::INITIAL_DEBT_CALM;
use bergamotshift_forward::limits::Quota;
use bergamotshift_forward::limits::keeper::Units;
use bergamotshift_forward::peers::keep;
use bergamotshift_forward::view::Accounts;
use bergamotshift_forward::view::View;

use crate::support::at;

const ENTRIES: usize = 17;
const BURST: f64 = 1_000.0;

/// What one request counts.
const SIZE: u64 = 10;

/// What a keeper that starts takes to be used up, in bursts.
const KEEPER_USED: f64 = 0.5;

fn whole(used: f64) -> Quota {
    Quota {
        rate: 1.0,
        burst: BURST,
        share_burst: BURST,
        initial_debt: used,
    }
}

/// The entry that keeps the zone, and the others with a share of the limit each.
struct Fleet {
    keeper: View,
    own: Vec<Account>,
}

impl Fleet {
    fn new() -> Self {
        let kept = Account::default();
        kept.set(at(0), Some(whole(KEEPER_USED)));
        let accounts = Accounts {
            own: Account::default().into(),
            zone: kept.into(),
        };
        let own = (0..ENTRIES).map(|_| {
            let account = Account::default();
            let share = 1.0 / ENTRIES as f64;
            account.set(at(0), Some(whole(INITIAL_DEBT_CALM).scaled(share, share)));
            account
        });
        Self {
            keeper: View {
                accounts: [("horeca".into(), accounts)].into(),
                ..View::default()
            },
            own: own.collect(),
        }
    }

    /// Lets requests in by the entries' own shares until those are used up; returns how many.
    fn alone(&self, entries: core::ops::Range<usize>) -> usize {
        let taken = |account: &Account| (0..100).filter(|_| account.take(at(0), SIZE).is_ok()).count();
        self.own[entries].iter().map(taken).sum()
    }

    /// Asks the keeper once for each entry in turn, until it refuses all; returns how many requests it granted.
    fn asked(&self) -> usize {
        let ask = |account: &Account| {
            let units = Units {
                organisation: "horeca".into(),
                count: SIZE,
                unreported: account.take_unreported(at(0)),
            };
            keep::grant(&self.keeper, at(0), &units).is_ok()
        };
        let round = || self.own.iter().filter(|account| ask(account)).count();
        core::iter::repeat_with(round).take_while(|granted| *granted > 0).sum()
    }
}

/// The entries of a fleet start slowly, and each lets callers in by its own share while it knows few of the others. Then all
/// have heard of one another, and ask the keeper. It does not grant the burst once more: what the entries let in before is
/// told with their first questions. Together they get the burst, and each entry may overdraw by one request.
#[test]
fn a_burst_is_granted_once_while_a_fleet_grows() {
    let fleet = Fleet::new();
    let alone = fleet.alone(0..ENTRIES);
    let asked = fleet.asked();
    let most = BURST as usize / SIZE as usize + ENTRIES;
    assert!(alone > ENTRIES, "the entries let in {alone} by themselves");
    assert!(alone + asked <= most, "{alone} and {asked} of at most {most}");
}

/// Half of the entries go on by themselves for longer than the others. What the keeper grants meanwhile is the half of the
/// burst that it does not take to be used up.
#[test]
fn entries_that_lag_behind_do_not_double_the_burst() {
    let fleet = Fleet::new();
    let before = fleet.alone(0..ENTRIES / 2);
    let first = fleet.asked();
    let late = fleet.alone(ENTRIES / 2..ENTRIES);
    let last = fleet.asked();
    let most = BURST as usize / SIZE as usize + ENTRIES;
    let all = before + first + late + last;
    assert!(all <= most, "{before}, {first}, {late} and {last} of at most {most}");
}

/// An entry let callers in long ago, and what that cost is paid for. Its first question to a keeper tells of nothing.
#[test]
fn what_is_paid_for_is_not_handed_over() {
    let account = Account::default();
    account.set(at(0), Some(whole(0.0)));
    account.take(at(0), SIZE).expect("there is room");
    assert_eq!(account.take_unreported(at(60_000)), 0);
}

/// The keeper is not reached. What the entry let in before is told with the next question.
#[test]
fn what_a_keeper_did_not_hear_is_told_again() {
    let account = Account::default();
    account.set(at(0), Some(whole(0.0)));
    account.take(at(0), SIZE).expect("there is room");
    let untold = account.take_unreported(at(0));
    assert_eq!(untold, SIZE);
    assert_eq!(account.take_unreported(at(0)), 0);
    account.restore_unreported(untold);
    assert_eq!(account.take_unreported(at(0)), SIZE);
}
