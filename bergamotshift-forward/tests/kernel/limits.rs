//! Limits of organisations over several entries.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::limits::Account;
use bergamotshift_forward::limits::Demand;
use bergamotshift_forward::limits::INITIAL_DEBT_CALM;
use bergamotshift_forward::limits::Policy;
use bergamotshift_forward::limits::Quota;
use bergamotshift_forward::limits::Share;
use bergamotshift_forward::limits::keeper;
use bergamotshift_forward::limits::keeper::Candidate;
use bergamotshift_limit::precedence::Kind;
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

/// Runs one round: every entry records its demand and updates its share, and then announces both to those that it
/// reaches.
fn round(entries: &mut [Entry], now: Instant, units: &[u64], hears: impl Fn(usize, usize) -> bool) {
    let policy = Policy::default();
    for (entry, units) in entries.iter_mut().zip(units) {
        entry
            .demand
            .note(policy.averaging_window, *units, Duration::from_millis(250));
        entry.used = entry.share.update(now, &policy, entry.demand, ENTRIES);
    }
    let announced: Vec<_> = entries
        .iter()
        .map(|entry| (entry.name.clone(), entry.demand.get(), entry.share.announced()))
        .collect();
    for (place, entry) in entries.iter_mut().enumerate() {
        for (other, (name, demand, share)) in announced.iter().enumerate() {
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

/// Guards against two halves of a fleet that exceed the limit together while they are cut off from each other. Both see
/// only their own callers, and each must leave to the silent entries the shares that those announced last.
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

/// Guards against shares that follow each lull of bursty demand, as few large requests cause it at each entry. Most of
/// the limit would be unused while callers are refused.
#[test]
fn bursty_demand_leaves_little_of_the_limit_unused() {
    let mut entries = entries();
    let mut unused = 0.0;
    for step in 0..200_u64 {
        let burst = |place: u64| u64::from((step + place * 3).is_multiple_of(13)) * 17_000;
        let units: Vec<u64> = (0..ENTRIES as u64).map(burst).collect();
        round(&mut entries, at(step * 250), &units, |_, _| true);
        if step >= 40 {
            unused += 1.0 - used(&entries);
        }
    }
    let mean = unused / 160.0;
    assert!(mean < 0.1, "{mean} of the limit lies idle");
}

/// Guards against an entry that starts alone, as it has not read the list of entries yet, and gives up the share of the
/// first other entry that it learns of only gradually. Until then, the organisation has its limit twice.
#[test]
fn an_entry_that_was_alone_gives_way_at_once() {
    let policy = Policy::default();
    let mut share = Share::<name::Entry>::default();
    assert_eq!(share.update(at(0), &policy, Demand::default(), 1), 1.0);
    share.record_peer(at(100), &"entry-2".into(), 500.0, 0.6);
    let next = share.update(at(250), &policy, Demand::default(), 2);
    assert!(next <= 0.4, "it keeps {next} beside another one's 0.6");
}

/// Guards against a limit that is not fully used for long after all entries have restarted while an organisation is
/// served.
#[test]
fn restarted_entries_soon_divide_the_whole_limit() {
    let mut entries = entries();
    for step in 0..12 {
        round(&mut entries, at(step * 250), &[200, 400, 100, 300], |_, _| true);
    }
    assert!(used(&entries) > 0.9, "after three seconds they use {}", used(&entries));
}

#[test]
fn an_entry_that_has_heard_no_other_takes_an_even_share() {
    let mut share = Share::<name::Entry>::default();
    let alone = share.update(at(0), &Policy::default(), Demand::default(), ENTRIES);
    assert!(alone <= 1.0 / ENTRIES as f64 + 1e-9, "it takes {alone}");
}

/// Guards against any sequence of partitions and demands by which all entries together use more than the whole limit.
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

pub fn quota(rate: f64, burst: f64) -> Quota {
    Quota {
        rate,
        burst,
        share_burst: burst,
        ..Quota::default()
    }
}

/// Guards against an entry that applies no limit, as it has just started and has no share yet.
#[test]
fn a_quota_of_nothing_admits_no_request() {
    let account = Account::default();
    account.set(at(0), Some(quota(0.0, 0.0)));
    let refused = account
        .take(at(10_000), 1, Kind::New)
        .expect_err("there is nothing to take");
    assert!(!refused.retry_after.is_zero());
    account.set(at(10_000), Some(quota(100.0, 50.0)));
    account
        .take(at(10_000), 1, Kind::New)
        .expect_err("the burst starts used up, also after that");
}

#[test]
fn a_request_larger_than_the_share_of_the_burst_is_admitted_once() {
    let account = Account::default();
    account.set(at(0), Some(quota(100.0, 50.0)));
    account.take(at(5_000), 500, Kind::New).expect("the burst is whole");
    let refused = account
        .take(at(5_000), 1, Kind::New)
        .expect_err("the debt is not paid yet");
    let paid = at(5_000) + refused.retry_after;
    account.take(paid, 1, Kind::New).expect("the debt is paid");
}

/// Guards against a fresh burst in each process when all entries are killed and start again at once. An organisation
/// that uses its whole limit would have the burst twice within a window.
#[test]
fn a_new_process_brings_no_new_burst() {
    let account = Account::default();
    account.set(at(0), Some(quota(100.0, 50.0)));
    let taken = (0..50).filter(|_| account.take(at(0), 10, Kind::New).is_ok()).count();
    assert_eq!(taken, 0, "all wait for the rate");
    let later = (0..50)
        .filter(|_| account.take(at(1_000), 10, Kind::New).is_ok())
        .count();
    assert!(
        (5..=10).contains(&later),
        "{later} requests of 10 units came in a second at 100 units"
    );
}

/// Guards against streams that are refused among more requests which begin, after all entries were killed at an organisation
/// at its limit.
#[test]
fn streams_that_are_taken_up_go_before_requests_that_begin() {
    const UNITS: u64 = 10;
    const STREAMS: u64 = 20;
    const RETURNS: u64 = 3;
    const SPAN: u64 = 6_000;
    let account = Account::default();
    account.set(at(0), Some(quota(100.0, 100.0)));
    let mut streams: Vec<_> = (0..STREAMS).map(|stream| (stream * 7, RETURNS)).collect();
    let (mut begun, mut resumed) = (0, 0);
    for now in 0..SPAN {
        if now % 10 == 0 {
            begun += u64::from(account.take(at(now), UNITS, Kind::New).is_ok());
        }
        for (due, returns) in streams.iter_mut().filter(|(due, _)| *due == now) {
            match account.take(at(now), UNITS, Kind::Resumed) {
                Ok(()) => resumed += 1,
                Err(refused) if *returns > 0 => {
                    *due = now + refused.retry_after.as_millis() as u64 + 1 + now % 10;
                    *returns -= 1;
                }
                Err(_) => {}
            }
        }
    }
    let asked = SPAN / 10;
    assert!(
        resumed * asked >= begun * STREAMS,
        "{resumed} of {STREAMS} went on, {begun} of {asked} began"
    );
    assert!(resumed * 2 >= STREAMS, "{resumed} of {STREAMS} went on");
    let most = SPAN / 10 + UNITS;
    assert!(
        (begun + resumed) * UNITS <= most,
        "{} units of {most}",
        (begun + resumed) * UNITS
    );
}

/// Units per second of the organisation in the tests of restarts, its burst, and the units that all entries may admit
/// beyond it.
const RATE: f64 = 157_000.0;
const BURST: f64 = 157_000.0;
const SLACK: f64 = 140_000.0;

/// Window over which the platform checks a limit, in milliseconds, and the factor up to which it may be used there.
const WINDOW: u64 = 8_000;
const OVER: f64 = 1.1;

/// Entries that admit requests until they are killed.
struct Fleet {
    accounts: Vec<Account>,
    quota: Quota,
    /// Admitted requests, as their time in milliseconds and their units.
    taken: Vec<(u64, u64)>,
}

impl Fleet {
    const ENTRIES: usize = 8;

    fn start(now: u64, is_calm: bool) -> Self {
        let whole = quota(RATE, BURST + 0.4 * SLACK);
        let share = 1.0 / Self::ENTRIES as f64;
        let quota = whole.scaled(share, share);
        let account = || {
            let account = Account::default();
            account.set(at(now), Some(quota));
            if is_calm {
                account.cap_debt(at(now), quota, INITIAL_DEBT_CALM);
            }
            account
        };
        Self {
            accounts: (0..Self::ENTRIES).map(|_| account()).collect(),
            quota,
            taken: Vec::new(),
        }
    }

    /// Sends requests of the usual sizes to one entry after the other, one every `pause` milliseconds; returns how many
    /// of them were sent and how many were admitted.
    fn ask(&mut self, span: core::ops::Range<u64>, pause: usize) -> (usize, usize) {
        const SIZES: [u64; 8] = [700, 1_900, 12_000, 800, 200, 25_000, 2_400, 200];
        let mut counts = (0, 0);
        for (turn, now) in span.step_by(pause).enumerate() {
            let units = SIZES[turn % SIZES.len()];
            // Sizes and entries have the same period, so the entries shift with each round.
            let entry = (turn + turn / SIZES.len()) % Self::ENTRIES;
            counts.0 += 1;
            if self.accounts[entry].take(at(now), units, Kind::New).is_ok() {
                counts.1 += 1;
                self.taken.push((now, units));
            }
        }
        counts
    }
}

fn peak_in_a_window(taken: &[(u64, u64)]) -> u64 {
    let within = |from: u64| taken.iter().filter(move |(at, _)| (from..from + WINDOW).contains(at));
    let sums = taken
        .iter()
        .map(|(from, _)| within(*from).map(|(_, units)| units).sum());
    sums.max().unwrap_or_default()
}

/// Guards against an organisation that exceeds its limit as all entries are killed twice, three seconds apart, while it
/// asks for eight times the limit. It may have been recorded as calm just before its demand rose, so each start gives
/// it a part of its burst.
#[test]
fn two_restarts_within_a_window_keep_the_limit() {
    for is_calm in [false, true] {
        let mut taken = Vec::new();
        for (from, to) in [(0, 10_000), (10_500, 13_000), (13_500, 30_000)] {
            let mut entries = Fleet::start(from, is_calm);
            entries.ask(from..to, 4);
            taken.extend(entries.taken);
        }
        let allowed = (RATE * 8.0 + BURST) * OVER + SLACK;
        let most = peak_in_a_window(&taken);
        assert!(most as f64 <= allowed, "{most} of {allowed} units, calm: {is_calm}");
    }
}

/// Guards against callers that are refused after all entries were killed and started again, although they ask for half
/// of the limit. With the burst assumed to be used up, half of them would be refused within the first second.
#[test]
fn callers_of_a_calm_organisation_are_admitted_after_a_restart() {
    let half = |is_calm| Fleet::start(0, is_calm).ask(0..1_000, 70);
    let (asked, calm) = half(true);
    let (_, unknown) = half(false);
    assert!(calm * 10 >= asked * 9, "{calm} of {asked} are let in");
    assert!(
        unknown * 10 <= asked * 6,
        "{unknown} of {asked} are let in where nothing is known"
    );
}

/// Guards against a start that makes the whole burst available to a calm organisation.
#[test]
fn a_capped_debt_is_still_owed_in_part() {
    let mut entries = Fleet::start(0, true);
    let (_, taken) = entries.ask(0..1, 1);
    assert_eq!(taken, 1);
    let burst = entries.quota.share_burst * (1.0 - INITIAL_DEBT_CALM);
    let first: u64 = (0..200)
        .filter(|_| entries.accounts[1].take(at(0), 200, Kind::New).is_ok())
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
    account.set(at(0), Some(quota(100.0, 50.0)));
    account.take(at(5_000), 100, Kind::New).expect("the burst is whole");
    account.take(at(5_000), 1, Kind::New).expect_err("the burst is used up");
    account.refund(100);
    account.take(at(5_000), 1, Kind::New).expect("they were given back");
}

#[test]
fn without_a_limit_every_request_is_admitted_and_counted() {
    let account = Account::default();
    account.set(at(0), None);
    assert!((0..100).all(|_| account.take(at(0), 1_000_000, Kind::New).is_ok()));
    assert_eq!(account.take_requested(), 100_000_000);
}

/// Guards against entries that disagree on the keeper of a zone with sixty entries, some of them on larger VMs, or on
/// its successor.
#[test]
fn all_entries_agree_on_the_keeper_of_a_zone() {
    let names: Vec<name::Entry> = (0..60)
        .map(|number| name::Entry::new(format!("entry-{number}")))
        .collect();
    let candidates: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, entry)| Candidate {
            entry,
            core_share: if index % 20 == 0 { 500 } else { 120 },
        })
        .collect();
    let [first, second] = keeper::top_two(candidates.iter().copied());
    assert_eq!([first, second], keeper::top_two(candidates.iter().rev().copied()));
    let large = [&names[0], &names[20], &names[40]];
    assert!(large.contains(&first.expect("there is one")), "a large VM comes first");
    let others = candidates.iter().copied().filter(|one| Some(one.entry) != first);
    assert_eq!(keeper::top_two(others)[0], second);
}

/// Guards against a deputy that starts with the initial share of a new zone when the keeper ends. It goes on with the
/// share that the keeper used.
#[test]
fn a_deputy_goes_on_with_the_share_of_its_zone() {
    let policy = Policy::default();
    let mut demand = Demand::default();
    demand.note(policy.averaging_window, 100_000, Duration::from_secs(8));
    let mut share = Share::<name::Zone>::default();
    share.adopt(0.4);
    share.record_peer(at(0), &"two".into(), demand.get(), 0.6);
    let next = share.update(at(100), &policy, demand, 2);
    assert!((0.39..=0.41).contains(&next), "it uses {next}");
}

/// Guards against keepers of four zones that together grant far less than a limit, or more than it and its burst, while
/// an organisation asks for four times its limit in large requests and unevenly.
#[test]
fn zones_together_grant_nearly_all_of_a_limit() {
    const RATE: f64 = 500_000.0;
    let policy = Policy::default();
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
        let announced: Vec<_> = shares.iter().map(Share::announced).collect();
        for (place, share) in shares.iter_mut().enumerate() {
            for other in (0..names.len()).filter(|other| *other != place) {
                share.record_peer(now, &names[other], demands[other].get(), announced[other]);
            }
        }
        let mut units = 0;
        for request in 0..40_u64 {
            let place = [0, 0, 0, 1, 1, 2, 2, 3][usize::arbitrary(&mut generator) % 8];
            let size = 1_000 + u64::arbitrary(&mut generator) % 23_000;
            if accounts[place]
                .take(at(tick * 250 + request * 6), size, Kind::New)
                .is_ok()
            {
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
