//! Organisations' limits over several entries.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::limits::Account;
use bergamotshift_forward::limits::Demand;
use bergamotshift_forward::limits::INITIAL_DEBT_CALM;
use bergamotshift_forward::limits::Quota;
use bergamotshift_forward::limits::Share;
use bergamotshift_forward::limits::SharePolicy;
use bergamotshift_forward::limits::keeper;
use bergamotshift_forward::limits::keeper::Candidate;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::support::at;

const ENTRIES: usize = 4;

struct Entry {
    name: name::Entry,
    share: Share<name::Entry>,
    demand: Demand,
    used: f64,
}

fn entries() -> Vec<Entry> {
    let entry = |number| Entry {
        name: name::Entry::new(format!("entry-{number}")),
        share: Share::default(),
        demand: Demand::default(),
        used: 0.0,
    };
    (0..ENTRIES).map(entry).collect()
}

/// One round: every entry notes its demand and works out its share, then those that hear each other tell theirs.
fn round(entries: &mut [Entry], now: Instant, units: &[u64], hears: impl Fn(usize, usize) -> bool) {
    let policy = SharePolicy::default();
    for (entry, units) in entries.iter_mut().zip(units) {
        entry
            .demand
            .note(policy.averaging_window, *units, Duration::from_millis(250));
        entry.used = entry.share.update(now, &policy, entry.demand, ENTRIES);
    }
    let told: Vec<_> = entries
        .iter()
        .map(|entry| (entry.name.clone(), entry.demand.get(), entry.share.announced()))
        .collect();
    for (place, entry) in entries.iter_mut().enumerate() {
        for (other, (name, demand, share)) in told.iter().enumerate() {
            if other != place && hears(place, other) {
                entry.share.record_peer(now, name, *demand, *share);
            }
        }
    }
}

fn used(entries: &[Entry]) -> f64 {
    entries.iter().map(|entry| entry.used).sum()
}

#[test]
fn shares_follow_demand_and_add_up_to_the_whole() {
    let mut entries = entries();
    for step in 0..40 {
        round(&mut entries, at(step * 250), &[900, 100, 0, 0], |_, _| true);
    }
    assert!(entries[0].used > 0.7, "the busy entry has {}", entries[0].used);
    assert!(entries[2].used > 0.05, "an idle entry has room for a caller that comes");
    assert!(
        (used(&entries) - 1.0).abs() < 0.02,
        "all together use {}",
        used(&entries)
    );
}

/// A zone is cut off while an organisation's demand moves. Both halves see only their own callers. Each entry that is
/// not heard keeps the share that it last told, so neither half deals out what the other one holds, and the sum stays
/// within the whole.
#[test]
fn halves_that_do_not_hear_each_other_use_no_more_than_the_whole() {
    let mut entries = entries();
    for step in 0..20 {
        round(&mut entries, at(step * 250), &[100, 100, 100, 100], |_, _| true);
    }
    let mut most: f64 = 0.0;
    for step in 20..80 {
        let same_half = |a: usize, b: usize| a / 2 == b / 2;
        round(&mut entries, at(step * 250), &[900, 0, 900, 0], same_half);
        most = most.max(used(&entries));
    }
    assert!(most <= 1.0 + 1e-6, "the halves together used {most}");
}

/// Requests are large and few, so each entry sees demand in lumps. The shares must not follow each lull, or most of the
/// limit lies idle while callers are refused.
#[test]
fn lumpy_demand_leaves_little_of_the_limit_unused() {
    let mut entries = entries();
    let mut unused = 0.0;
    for step in 0..200_u64 {
        let lump = |place: u64| u64::from((step + place * 3).is_multiple_of(13)) * 17_000;
        let units: Vec<u64> = (0..ENTRIES as u64).map(lump).collect();
        round(&mut entries, at(step * 250), &units, |_, _| true);
        if step >= 40 {
            unused += 1.0 - used(&entries);
        }
    }
    let mean = unused / 160.0;
    assert!(mean < 0.1, "{mean} of the limit lies idle");
}

/// An entry starts and takes itself for the only one, as it has not read the list of entries yet. Once it hears another
/// one it gives up what that one has, at once and not bit by bit: until then the organisation has its limit twice.
#[test]
fn an_entry_that_was_alone_gives_way_at_once() {
    let policy = SharePolicy::default();
    let mut share = Share::<name::Entry>::default();
    assert_eq!(share.update(at(0), &policy, Demand::default(), 1), 1.0);
    share.record_peer(at(100), &"entry-2".into(), 500.0, 0.6);
    let next = share.update(at(250), &policy, Demand::default(), 2);
    assert!(next <= 0.4, "it keeps {next} beside another one's 0.6");
}

/// All entries start anew while an organisation is served. Within a few seconds they share out the whole limit again.
#[test]
fn entries_that_start_anew_soon_share_out_the_whole() {
    let mut entries = entries();
    for step in 0..12 {
        round(&mut entries, at(step * 250), &[200, 400, 100, 300], |_, _| true);
    }
    assert!(used(&entries) > 0.9, "after three seconds they use {}", used(&entries));
}

#[test]
fn an_entry_that_has_heard_nobody_takes_an_even_share() {
    let mut share = Share::<name::Entry>::default();
    let alone = share.update(at(0), &SharePolicy::default(), Demand::default(), ENTRIES);
    assert!(alone <= 1.0 / ENTRIES as f64 + 1e-9, "it takes {alone}");
}

/// Entries are cut off from each other in any groups, and their callers' demand moves, in any order. All together never
/// use more than the whole.
#[test]
fn no_order_of_cuts_and_demands_exceeds_the_whole() {
    fn most_used(steps: Vec<(u8, u8)>) -> bool {
        let mut entries = entries();
        steps.into_iter().enumerate().all(|(step, (cut, demand))| {
            let units: Vec<u64> = (0..ENTRIES)
                .map(|place| u64::from(demand >> (2 * place) & 3) * 300)
                .collect();
            let together = |a: usize, b: usize| cut >> a & 1 == cut >> b & 1;
            round(&mut entries, at(step as u64 * 250), &units, together);
            used(&entries) <= 1.0 + 1e-6
        })
    }
    let random = Gen::from_size_and_seed(60, 7);
    QuickCheck::new()
        .rng(random)
        .tests(3_000)
        .quickcheck(most_used as fn(Vec<(u8, u8)>) -> bool);
}

fn part(rate: f64, burst: f64) -> Quota {
    Quota {
        rate,
        burst,
        share_burst: burst,
        ..Quota::default()
    }
}

/// An entry that has just started has no share yet. That must not mean that it knows no limit.
#[test]
fn a_part_of_nothing_lets_nothing_in() {
    let account = Account::default();
    account.set(at(0), Some(part(0.0, 0.0)));
    let refused = account.take(at(10_000), 1).expect_err("there is nothing to take");
    assert!(!refused.retry_after.is_zero());
    account.set(at(10_000), Some(part(100.0, 50.0)));
    account
        .take(at(10_000), 1)
        .expect_err("the burst starts used up, also after that");
}

#[test]
fn a_request_larger_than_the_share_of_the_burst_is_let_in_once() {
    let account = Account::default();
    account.set(at(0), Some(part(100.0, 50.0)));
    account.take(at(5_000), 500).expect("the burst is whole");
    let refused = account.take(at(5_000), 1).expect_err("the debt is not paid yet");
    let paid = at(5_000) + refused.retry_after;
    account.take(paid, 1).expect("the debt is paid");
}

/// All entries are killed while an organisation uses its whole limit, and start again at once. If each came up with a
/// fresh burst, the organisation would have it twice within a window. A new process lets the burst grow from nothing.
#[test]
fn a_new_process_brings_no_new_burst() {
    let account = Account::default();
    account.set(at(0), Some(part(100.0, 50.0)));
    let taken = (0..50).filter(|_| account.take(at(0), 10).is_ok()).count();
    assert_eq!(taken, 0, "all wait for the rate");
    let later = (0..50).filter(|_| account.take(at(1_000), 10).is_ok()).count();
    assert!(
        (5..=10).contains(&later),
        "{later} requests of 10 units came in a second at 100 units"
    );
}

/// Units per second of the organisation in the tests of restarts, its burst, and what all entries may let in beyond it.
const RATE: f64 = 157_000.0;
const BURST: f64 = 157_000.0;
const SLACK: f64 = 140_000.0;

/// The window over which the platform judges a limit, in milliseconds, and the part by which it may be exceeded there.
const WINDOW: u64 = 8_000;
const OVER: f64 = 1.1;

/// Entries that let requests in until they are killed.
struct Killed {
    accounts: Vec<Account>,
    part: Quota,
    /// When how many units were let in.
    taken: Vec<(u64, u64)>,
}

impl Killed {
    const ENTRIES: usize = 8;

    fn start(now: u64, is_calm: bool) -> Self {
        let whole = part(RATE, BURST + 0.4 * SLACK);
        let share = 1.0 / Self::ENTRIES as f64;
        let part = whole.scaled(share, share);
        let account = || {
            let account = Account::default();
            account.set(at(now), Some(part));
            if is_calm {
                account.cap_debt(at(now), part, INITIAL_DEBT_CALM);
            }
            account
        };
        Self {
            accounts: (0..Self::ENTRIES).map(|_| account()).collect(),
            part,
            taken: Vec::new(),
        }
    }

    /// Asks one entry after the other for requests of the usual sizes, one every `pause` milliseconds; returns how many of
    /// them were asked for and let in.
    fn ask(&mut self, span: core::ops::Range<u64>, pause: usize) -> (usize, usize) {
        const SIZES: [u64; 8] = [700, 1_900, 12_000, 800, 200, 25_000, 2_400, 200];
        let mut counts = (0, 0);
        for (turn, now) in span.step_by(pause).enumerate() {
            let units = SIZES[turn % SIZES.len()];
            // Sizes and entries have the same period, so the entries shift with each round.
            let entry = (turn + turn / SIZES.len()) % Self::ENTRIES;
            counts.0 += 1;
            if self.accounts[entry].take(at(now), units).is_ok() {
                counts.1 += 1;
                self.taken.push((now, units));
            }
        }
        counts
    }
}

fn most_in_a_window(taken: &[(u64, u64)]) -> u64 {
    let within = |from: u64| taken.iter().filter(move |(at, _)| (from..from + WINDOW).contains(at));
    let sums = taken
        .iter()
        .map(|(from, _)| within(*from).map(|(_, units)| units).sum());
    sums.max().unwrap_or_default()
}

/// An organisation asks for eight times its limit. All entries are killed, and again three seconds later, each time back
/// after half a second. It may have been written down as calm a moment before it rose, so each start gives it a part of its
/// burst; over no window does it get more than the platform allows.
#[test]
fn two_restarts_within_a_window_keep_the_limit() {
    for is_calm in [false, true] {
        let mut taken = Vec::new();
        for (from, to) in [(0, 10_000), (10_500, 13_000), (13_500, 30_000)] {
            let mut entries = Killed::start(from, is_calm);
            entries.ask(from..to, 4);
            taken.extend(entries.taken);
        }
        let allowed = (RATE * 8.0 + BURST) * OVER + SLACK;
        let most = most_in_a_window(&taken);
        assert!(most as f64 <= allowed, "{most} of {allowed} units, calm: {is_calm}");
    }
}

/// All entries are killed and start again, and callers who ask for half of the limit come back at once. Nearly all of them
/// are let in within the first second; with the burst taken to be used up, half are refused for the second time.
#[test]
fn callers_of_a_calm_organisation_are_let_in_after_a_restart() {
    let half = |is_calm| Killed::start(0, is_calm).ask(0..1_000, 70);
    let (asked, calm) = half(true);
    let (_, unknown) = half(false);
    assert!(calm * 10 >= asked * 9, "{calm} of {asked} are let in");
    assert!(
        unknown * 10 <= asked * 6,
        "{unknown} of {asked} are let in where nothing is known"
    );
}

/// A start takes no more of the burst back than it took to be used up.
#[test]
fn what_is_relieved_is_still_owed_in_part() {
    let mut entries = Killed::start(0, true);
    let (_, taken) = entries.ask(0..1, 1);
    assert_eq!(taken, 1);
    let burst = entries.part.share_burst * (1.0 - INITIAL_DEBT_CALM);
    let first: u64 = (0..200)
        .filter(|_| entries.accounts[1].take(at(0), 200).is_ok())
        .count() as u64
        * 200;
    assert!(
        first as f64 <= burst + 200.0 && first > 0,
        "{first} of {burst} units at once"
    );
}

#[test]
fn units_given_back_can_be_taken_again() {
    let account = Account::default();
    account.set(at(0), Some(part(100.0, 50.0)));
    account.take(at(5_000), 100).expect("the burst is whole");
    account.take(at(5_000), 1).expect_err("the burst is used up");
    account.refund(100);
    account.take(at(5_000), 1).expect("they were given back");
}

#[test]
fn without_a_limit_everything_is_let_in_and_counted() {
    let account = Account::default();
    account.set(at(0), None);
    assert!((0..100).all(|_| account.take(at(0), 1_000_000).is_ok()));
    assert_eq!(account.take_requested(), 100_000_000);
}

/// Sixty entries lie in a zone, some of them on larger VMs. Whichever of them a caller meets, it asks the same one, and
/// all know who comes next when that one is gone.
#[test]
fn all_entries_agree_on_who_keeps_a_zone() {
    let names: Vec<name::Entry> = (0..60)
        .map(|number| name::Entry::new(format!("entry-{number}")))
        .collect();
    let candidates: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(place, entry)| Candidate {
            entry,
            core_share: if place % 20 == 0 { 500 } else { 120 },
        })
        .collect();
    let [first, second] = keeper::top_two(candidates.iter().copied());
    assert_eq!([first, second], keeper::top_two(candidates.iter().rev().copied()));
    let large = [&names[0], &names[20], &names[40]];
    assert!(large.contains(&first.expect("there is one")), "a large VM comes first");
    let others = candidates.iter().copied().filter(|one| Some(one.entry) != first);
    assert_eq!(keeper::top_two(others)[0], second);
}

/// A zone's keeper ends. Its deputy goes on with the zone's share as that one used it, not with that of a zone which is new
/// and has to be given room first.
#[test]
fn a_deputy_goes_on_with_the_share_of_its_zone() {
    let policy = SharePolicy::default();
    let mut demand = Demand::default();
    demand.note(policy.averaging_window, 100_000, Duration::from_secs(8));
    let mut share = Share::<name::Zone>::default();
    share.adopt(0.4);
    share.record_peer(at(0), &"two".into(), demand.get(), 0.6);
    let next = share.update(at(100), &policy, demand, 2);
    assert!((0.39..=0.41).contains(&next), "it uses {next}");
}

/// An organisation asks for four times its limit in four zones, in large requests and unevenly. Its zones' keepers together
/// grant nearly all that the limit holds, and never more than it and its burst.
#[test]
fn zones_together_grant_nearly_all_of_a_limit() {
    const RATE: f64 = 500_000.0;
    let policy = SharePolicy::default();
    let names: Vec<name::Zone> = ["a", "b", "c", "d"].into_iter().map(name::Zone::new).collect();
    let mut shares: Vec<Share<name::Zone>> = names.iter().map(|_| Share::default()).collect();
    let mut demands = [Demand::default(); 4];
    let accounts: Vec<Account> = names.iter().map(|_| Account::default()).collect();
    let mut generator = Gen::new(10);
    let mut granted = Vec::new();
    for tick in 0..120_u64 {
        let now = at(tick * 250);
        for (place, share) in shares.iter_mut().enumerate() {
            demands[place].note(
                policy.averaging_window,
                accounts[place].take_requested(),
                Duration::from_millis(250),
            );
            let fraction = share.update(now, &policy, demands[place], names.len());
            let whole = Quota {
                rate: RATE,
                burst: RATE,
                share_burst: RATE,
                ..Quota::default()
            };
            accounts[place].set(now, Some(whole.scaled(fraction, fraction)));
        }
        let told: Vec<_> = shares.iter().map(Share::announced).collect();
        for (place, share) in shares.iter_mut().enumerate() {
            for other in (0..names.len()).filter(|other| *other != place) {
                share.record_peer(now, &names[other], demands[other].get(), told[other]);
            }
        }
        let mut units = 0;
        for request in 0..40_u64 {
            let place = [0, 0, 0, 1, 1, 2, 2, 3][usize::arbitrary(&mut generator) % 8];
            let size = 1_000 + u64::arbitrary(&mut generator) % 23_000;
            if accounts[place].take(at(tick * 250 + request * 6), size).is_ok() {
                units += size;
            }
        }
        granted.push(units);
    }
    let settled: u64 = granted[40..].iter().sum();
    let allowed = RATE * 20.0;
    let part = settled as f64 / allowed;
    assert!(part > 0.95, "they grant {part} of the limit");
    for window in granted.windows(32) {
        let units: u64 = window.iter().sum();
        assert!(
            units as f64 <= RATE * 9.0 + 4.0 * 24_000.0,
            "{units} within eight seconds"
        );
    }
}
