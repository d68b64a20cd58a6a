//! Limits of an organisation enforced by many entries without coordination per request, in virtual time.

mod common;

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::bucket::Bucket;
use bergamotshift_limit::demand::Origin;
use bergamotshift_limit::prelude::*;
use bergamotshift_limit::quota::Cost;
use bergamotshift_limit::quota::Limit;
use bergamotshift_limit::quota::Limits;
use quickcheck::quickcheck;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

const ZONES: usize = 4;
const PER_ZONE: usize = 2;
const RATE: f64 = 100.0;
const BURST: f64 = 20.0;
const GOSSIP_MS: u64 = 500;
const HOTEL: name::Organisation = name::Organisation::new_static("hotel");

struct Fleet {
    ledgers: Vec<Ledger>,
    accounts: Vec<Arc<Account>>,
}

fn zone(number: usize) -> name::Zone {
    name::Zone::new(format!("zone-{number}"))
}

impl Fleet {
    fn new() -> Self {
        let limits = Limits {
            requests_per_second: Some(RATE),
            burst: BURST,
            ..Limits::default()
        };
        let ledger = |index: usize| {
            let others = (0..ZONES)
                .filter(|other| *other != index / PER_ZONE)
                .map(zone)
                .collect();
            Ledger::new(demand::View::new(demand::Settings::default(), others, PER_ZONE - 1))
        };
        let mut ledgers: Vec<_> = (0..ZONES * PER_ZONE).map(ledger).collect();
        let accounts = ledgers
            .iter_mut()
            .map(|ledger| ledger.open(Instant::ZERO, HOTEL, limits))
            .collect();
        Self { ledgers, accounts }
    }

    /// Exchanges announcements within each zone, and between two zones unless `cut` returns `true` for them.
    fn gossip(&mut self, now: Instant, cut: impl Fn(usize, usize) -> bool) {
        for ledger in &mut self.ledgers {
            ledger.tick(now);
        }
        let age = Duration::from_millis(GOSSIP_MS);
        let announced: Vec<_> = self
            .ledgers
            .iter_mut()
            .map(|ledger| ledger.view.announce(now).clone())
            .collect();
        for (index, ledger) in self.ledgers.iter_mut().enumerate() {
            let here = index / PER_ZONE;
            for other in (0..announced.len()).filter(|other| *other != index) {
                let there = other / PER_ZONE;
                if there == here {
                    let origin = Origin::Entry(name::Entry::new(format!("entry-{other}")));
                    ledger.view.observe(now, origin, age, announced[other].entry.clone());
                } else if !cut(here, there) {
                    ledger
                        .view
                        .observe(now, Origin::Zone(zone(there)), age, announced[other].zone.clone());
                }
            }
        }
    }

    /// Runs for a span of milliseconds and returns the number of admitted requests.
    ///
    /// Each entry for which `busy` returns `true` receives four requests per millisecond.
    fn run(
        &mut self,
        span: core::ops::Range<u64>,
        cut: impl Fn(usize, usize) -> bool,
        busy: impl Fn(u64, usize) -> bool,
    ) -> f64 {
        let mut admitted = 0;
        for millis in span {
            let now = Instant::from_millis(millis);
            if millis % GOSSIP_MS == 0 {
                self.gossip(now, &cut);
            }
            for (_, account) in self
                .accounts
                .iter()
                .enumerate()
                .filter(|(index, _)| busy(millis, *index))
            {
                let admit = || account.admit(now, Cost::default()).is_ok();
                admitted += (0..4).filter(|_| admit()).count();
            }
        }
        admitted as f64
    }
}

const fn connected(_: usize, _: usize) -> bool {
    false
}

#[test]
fn limit_holds_across_entries_and_is_used_up() {
    // Requests arrive at all entries or at a single one. Either way the organisation gets its whole limit and nothing
    // above it except its bursts.
    for (name, only) in [("quota_over_all_entries", None), ("quota_over_one_entry", Some(0))] {
        let mut fleet = Fleet::new();
        let busy = |_, index| only.is_none_or(|only| only == index);
        fleet.run(0..20_000, connected, busy);
        let admitted = fleet.run(20_000..80_000, connected, busy);
        let share = admitted / (RATE * 60.0);
        assert!(share > 0.9, "{name}: only {share} of the limit could be used");
        common::check(name, share);
    }
}

#[test]
fn cut_off_zones_overshoot_within_the_bound() {
    // An idle organisation floods all zones just after they are partitioned, while each zone assumes that the others
    // have no demand. With k groups, the excess stays within (k - 1) × (fresh + horizon) / 2 seconds' worth of the
    // limit plus one burst per entry, for any length of the partition; after the horizon, the limit's rate holds.
    let demand::Settings { fresh, horizon, .. } = demand::Settings::default();
    let seconds = (fresh + horizon).as_secs_f64() / 2.0;
    for (name, groups) in [("quota_cut_in_two_excess", 2), ("quota_cut_in_four_excess", 4)] {
        let mut fleet = Fleet::new();
        let cut = |here: usize, there: usize| here % groups != there % groups;
        fleet.run(0..20_000, connected, |_, _| false);
        let first = fleet.run(20_000..30_000, cut, |_, _| true);
        let later = fleet.run(30_000..90_000, cut, |_, _| true);
        let excess = first + later - RATE * 70.0;
        let bound = (groups - 1) as f64 * RATE * seconds + BURST * (ZONES * PER_ZONE) as f64;
        assert!(excess <= bound, "{name}: {excess} over {bound}");
        assert!(excess > 0.0, "{name}: the cut shows");
        assert!(later <= RATE * 60.0 * 1.01, "{name}: {later} after the horizon");
        common::check(name, excess);
    }
}

#[test]
fn demand_that_moves_between_entries_gains_nothing() {
    // The requests move to another entry every second, about as fast as gossip spreads the demand. The organisation
    // must not exceed its limit; it cannot use all of it, because the portions lag behind the demand.
    let mut fleet = Fleet::new();
    let busy = |millis: u64, index| (millis / 1_000) as usize % (ZONES * PER_ZONE) == index;
    let share = fleet.run(0..120_000, connected, busy) / (RATE * 120.0);
    assert!(share <= 1.0, "{share} of the limit");
    common::check("quota_moving_demand_unused", 1.0 - share);
}

#[test]
fn organisation_under_its_limit_is_refused_nothing() {
    // Requests arrive at random over all entries, at four fifths of the limit. Each entry receives a few per second and
    // learns of the others' demand only by gossip.
    let mut fleet = Fleet::new();
    let mut rng = Pcg64Mcg::new(3);
    let (mut requested, mut refused) = (0, 0);
    for millis in 0..120_000 {
        let now = Instant::from_millis(millis);
        if millis % GOSSIP_MS == 0 {
            fleet.gossip(now, connected);
        }
        if rng.random_bool(RATE * 0.8 / 1_000.0) {
            let entry = rng.random_range(0..fleet.accounts.len());
            requested += 1;
            refused += u64::from(fleet.accounts[entry].admit(now, Cost::default()).is_err());
        }
    }
    common::check("quota_refused_below_limit", refused as f64 / f64::from(requested));
}

#[test]
fn each_limit_is_enforced_and_reported() {
    let mut ledger = Ledger::new(demand::View::new(demand::Settings::default(), Vec::new(), 0));
    let requests = Limits {
        requests_per_second: Some(1.0),
        burst: 1.0,
        ..Limits::default()
    };
    let tokens = Limits {
        tokens_per_second: Some(10.0),
        ..Limits::default()
    };
    let spend = Limits {
        spend_per_hour: Some(Price::from_micros(3_600_000)),
        ..Limits::default()
    };
    let cost = Cost {
        tokens: 100,
        spend: Price::from_micros(10_000),
    };
    let table = [
        (requests, Limit::Requests, 1_000),
        (tokens, Limit::Tokens, 10_000),
        (spend, Limit::Spend, 10_000),
    ];
    for (index, (limits, limit, millis)) in table.into_iter().enumerate() {
        let account = ledger.open(Instant::ZERO, name::Organisation::new(format!("org-{index}")), limits);
        assert_eq!(account.admit(Instant::ZERO, cost), Ok(()));
        let excess = account.admit(Instant::ZERO, cost).unwrap_err();
        assert_eq!(
            (excess.limit, excess.retry_after),
            (limit, Duration::from_millis(millis))
        );
        account.refund(cost);
        assert_eq!(account.admit(Instant::ZERO, cost), Ok(()));
    }
}

#[test]
fn settled_cost_replaces_the_expected_one() {
    let mut ledger = Ledger::new(demand::View::new(demand::Settings::default(), Vec::new(), 0));
    let limits = Limits {
        tokens_per_second: Some(10.0),
        ..Limits::default()
    };
    let account = ledger.open(Instant::ZERO, HOTEL, limits);
    let cost = |tokens| Cost {
        tokens,
        ..Cost::default()
    };
    assert_eq!(account.admit(Instant::ZERO, cost(100)), Ok(()));
    account.settle(Instant::ZERO, cost(100), cost(40));
    assert_eq!(account.admit(Instant::ZERO, cost(60)), Ok(()));
    assert!(account.admit(Instant::ZERO, cost(1)).is_err());
}

#[test]
fn concurrent_workers_never_take_more_than_available() {
    // Guards against a separate read and write, with which two threads could take the same unit. Four threads drain one
    // bucket and one retry budget at the same kernel time.
    let bucket = Bucket::new(1.0, 1_000.0);
    let budget = Budget::new(retry::Settings {
        ratio: 0.5,
        reserve: 0,
        burst: 10_000,
    });
    let now = Instant::from_secs(1);
    let drain = || {
        let taken = (0..2_000).filter(|_| bucket.try_take(now, 1).is_ok()).count();
        (0..2_000).for_each(|_| budget.deposit());
        let retries = (0..2_000).filter(|_| budget.try_withdraw()).count();
        (taken, retries)
    };
    let sums = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..4).map(|_| scope.spawn(drain)).collect();
        let ended = workers.into_iter().map(|worker| worker.join().unwrap());
        ended.fold((0, 0), |sum, (taken, retries)| (sum.0 + taken, sum.1 + retries))
    });
    assert_eq!(sums.0, 1_000);
    assert!(sums.1 < 4_000, "{} retries for 8,000 requests", sums.1);
}

quickcheck! {
    fn portions_of_equal_views_add_up_to_one(rates: Vec<u16>) -> bool {
        // Each entry of a zone knows the current rates of the others.
        let now = Instant::from_secs(100);
        let count = rates.len();
        let announced = |index: usize| demand::Rates::from([(HOTEL, f64::from(rates[index]))]);
        let portion = |index: usize| {
            let mut view = demand::View::new(demand::Settings::default(), Vec::new(), count - 1);
            view.tick(Instant::ZERO, []);
            view.tick(now, [(HOTEL, u64::from(rates[index]) * 100)]);
            view.announce(now);
            for other in (0..count).filter(|other| *other != index) {
                let origin = Origin::Entry(name::Entry::new(format!("entry-{other}")));
                view.observe(now, origin, Duration::ZERO, announced(other));
            }
            view.sums(now).portion(&HOTEL)
        };
        count == 0 || ((0..count).map(portion).sum::<f64>() - 1.0).abs() < 1e-6
    }

    fn bucket_never_gives_more_than_rate_and_burst(steps: Vec<(u8, u8)>, rate: u8, burst: u8) -> bool {
        let (rate, burst) = (f64::from(rate) + 1.0, f64::from(burst) + 1.0);
        let bucket = Bucket::new(rate, burst);
        let start = Instant::from_secs(1);
        let (mut now, mut taken, mut largest) = (start, 0_u64, 0_u64);
        steps.into_iter().all(|(pause, units)| {
            now = now + Duration::from_millis(u64::from(pause));
            if bucket.try_take(now, u64::from(units)).is_ok() {
                taken += u64::from(units);
                largest = largest.max(u64::from(units));
            }
            taken as f64 <= rate * now.since(start).as_secs_f64() + burst.max(largest as f64) + 1e-3
        })
    }

    fn changing_the_rate_keeps_the_debt_in_units(units: u8, before: u8, after: u8) -> bool {
        let bucket = Bucket::new(f64::from(before) + 1.0, 1.0);
        let now = Instant::from_secs(1);
        bucket.charge(now, u64::from(units));
        bucket.set_rate(now, f64::from(after) + 1.0, 1.0);
        let expected = f64::from(units) / (f64::from(after) + 1.0);
        (bucket.owed(now).as_secs_f64() - expected).abs() < 1e-6
    }
}

#[test]
fn idle_organisation_is_admitted_at_any_entry() {
    // After an idle period, ten requests, a tenth of the limit, arrive at one entry within a second.
    let mut fleet = Fleet::new();
    fleet.run(0..20_000, connected, |_, _| false);
    let now = Instant::from_secs(20);
    let admitted = (0..10).filter(|_| fleet.accounts[5].admit(now, Cost::default()).is_ok());
    assert_eq!(admitted.count(), 10);
}
