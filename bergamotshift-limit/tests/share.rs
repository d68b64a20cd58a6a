//! Fair shares under contention, in virtual time.

mod common;

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::admission::Decision;
use bergamotshift_limit::admission::Reason;
use bergamotshift_limit::prelude::*;
use bergamotshift_limit::quota::Cost;
use bergamotshift_limit::quota::Limits;
use bergamotshift_limit::share::Claimant;
use bergamotshift_limit::share::divide;
use quickcheck::quickcheck;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

const CAPACITY: f64 = 10_000.0;
const WORK: u64 = 100;
const TARGET: Duration = Duration::from_secs(2);
const ENTRIES: usize = 4;
const GOSSIP_MS: u64 = 500;
const TICK_MS: u64 = 100;
const REPORT_MS: u64 = 250;
const LARGE: usize = 0;
const SMALL: usize = 1;
const NAMES: [name::Organisation; 2] = [
    name::Organisation::new_static("large"),
    name::Organisation::new_static("small"),
];

struct Entry {
    forecast: admission::Forecast,
    gate: Arc<Gate>,
    pool: Pool,
    accounts: Vec<Arc<Account>>,
    allowances: Vec<Arc<share::Allowance>>,
}

impl Entry {
    /// Creates an entry of a fleet with these other zones.
    fn new(other_zones: &[name::Zone]) -> Self {
        let view = || demand::View::new(demand::Settings::default(), other_zones.to_vec(), ENTRIES - 1);
        let mut ledger = Ledger::new(view());
        let mut pool = Pool::new(share::Settings::default(), view());
        let account = |name: &name::Organisation| ledger.open(Instant::ZERO, name.clone(), Limits::default());
        let accounts = NAMES.iter().map(account).collect();
        let allowances = NAMES.iter().map(|name| pool.join(name.clone(), 1.0)).collect();
        let forecast = admission::Forecast::new(admission::Settings::default(), Duration::from_secs(2));
        let gate = forecast.gate();
        Self {
            forecast,
            gate,
            pool,
            accounts,
            allowances,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requested: u64,
    refused: u64,
    late: u64,
    longest: Duration,
    work: u64,
}

/// Requests per second of an organisation at an entry, at a given millisecond.
type Arrivals = fn(millis: u64, organisation: usize, entry: usize) -> f64;

/// Runs a minute of urgent requests against one queue and returns the counts of each organisation.
///
/// Without `shared`, admission depends on the predicted wait alone.
fn run(shared: bool, other_zones: &[name::Zone], arrivals: Arrivals) -> [Tally; 2] {
    let mut rng = Pcg64Mcg::new(42);
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| Entry::new(other_zones)).collect();
    let mut tallies = [Tally::default(); 2];
    let mut backlog = 0.0_f64;
    let (mut reported, mut latest) = ((0, 0.0), (0, 0.0));
    for millis in 0..60_000 {
        let now = Instant::from_millis(millis);
        if millis % REPORT_MS == 0 {
            // Entries know the queue of the previous report.
            (reported, latest) = (latest, (millis, backlog));
        }
        if millis % TICK_MS == 0 {
            let wait = Duration::from_secs_f64(reported.1 / CAPACITY);
            let age = Duration::from_millis(millis - reported.0);
            let portion = 1.0 / ENTRIES as f64;
            let reading = admission::Reading {
                capacity: CAPACITY,
                waits: [wait; 3],
                concurrency: Duration::ZERO,
                age,
                portion,
            };
            for entry in &mut entries {
                entry.forecast.tick(now, reading);
                let wait = entry.gate.wait(now, Urgency::Urgent);
                entry.pool.tick(
                    now,
                    share::Supply {
                        capacity: CAPACITY,
                        wait,
                        target: TARGET,
                    },
                );
            }
        }
        if millis % GOSSIP_MS == 0 {
            gossip(now, &mut entries);
        }
        for (index, entry) in entries.iter().enumerate() {
            for (organisation, tally) in tallies.iter_mut().enumerate() {
                if !rng.random_bool(arrivals(millis, organisation, index) / 1_000.0) {
                    continue;
                }
                tally.requested += 1;
                if admit(now, entry, organisation, shared, &mut rng) {
                    let wait = Duration::from_secs_f64(backlog / CAPACITY);
                    tally.longest = tally.longest.max(wait);
                    tally.late += u64::from(wait > TARGET);
                    tally.work += WORK;
                    backlog += WORK as f64;
                } else {
                    tally.refused += 1;
                }
            }
        }
        backlog = (backlog - CAPACITY / 1_000.0).max(0.0);
    }
    tallies
}

fn admit(now: Instant, entry: &Entry, organisation: usize, shared: bool, rng: &mut Pcg64Mcg) -> bool {
    let request = admission::Request {
        urgency: Urgency::Urgent,
        target: TARGET,
        deadline: now + Duration::from_secs(30),
        deferrable: false,
        work: WORK,
    };
    if !shared {
        return entry.gate.decide(now, request, Ok(())) == Decision::Admit;
    }
    let (account, allowance) = (&entry.accounts[organisation], &entry.allowances[organisation]);
    admission::decide(now, request, Cost::default(), account, allowance, &entry.gate, rng) == Decision::Admit
}

fn gossip(now: Instant, entries: &mut [Entry]) {
    let announced: Vec<_> = entries
        .iter_mut()
        .map(|entry| entry.pool.view.announce(now).entry.clone())
        .collect();
    for (index, entry) in entries.iter_mut().enumerate() {
        for (other, rates) in announced.iter().enumerate().filter(|(other, _)| *other != index) {
            let origin = demand::Origin::Entry(name::Entry::new(format!("entry-{other}")));
            entry
                .pool
                .view
                .observe(now, origin, Duration::from_millis(GOSSIP_MS), rates.clone());
        }
    }
}

fn flood(_: u64, organisation: usize, _: usize) -> f64 {
    if organisation == LARGE { 250.0 } else { 2.5 }
}

#[test]
fn large_organisation_does_not_delay_a_small_one_past_its_target() {
    // The large organisation requests ten times the capacity, the small one a tenth of it. By predicted waits alone,
    // the small one is refused as often as the large one. With shares, it is never refused and never late, and the
    // large one gets the rest of the capacity.
    let [_, alone] = run(false, &[], flood);
    println!("without shares: {alone:?}");
    assert!(alone.refused * 2 > alone.requested, "without shares: {alone:?}");
    let [large, small] = run(true, &[], flood);
    assert_eq!((small.refused, small.late), (0, 0), "{small:?}");
    common::check("share_small_longest_wait_s", small.longest.as_secs_f64());
    let used = (large.work + small.work) as f64 / (CAPACITY * 60.0);
    common::check("share_capacity_idle", 1.0 - used);
}

#[test]
fn partitioned_zone_shares_its_own_endpoints() {
    // The zone receives nothing from three others, which serve from their own endpoints. Only this zone's capacity is
    // shared, so no part of it is reserved for them, and the small organisation is neither refused nor late.
    let others = ["b", "c", "d"].map(name::Zone::from);
    let [large, small] = run(true, &others, flood);
    assert_eq!((small.refused, small.late), (0, 0), "{small:?}");
    let used = (large.work + small.work) as f64 / (CAPACITY * 60.0);
    common::check("share_cut_off_capacity_idle", 1.0 - used);
}

#[test]
fn small_organisation_that_starts_under_overload_is_admitted_at_once() {
    // The large organisation overloads the service through the first entry. After half a minute, the small one starts
    // at the last entry with the rate of its full share; its demand was unknown before.
    let arrivals = |millis, organisation, entry| match (organisation, entry) {
        (LARGE, 0) => 900.0,
        (SMALL, 3) if millis >= 30_000 => 45.0,
        _ => 0.0,
    };
    let [large, small] = run(true, &[], arrivals);
    assert_eq!(small.late, 0);
    common::check("share_newcomer_refused", small.refused as f64 / small.requested as f64);
    let used = (large.work + small.work) as f64 / (CAPACITY * 60.0);
    common::check("share_skewed_capacity_idle", 1.0 - used);
}

#[test]
fn organisation_alone_uses_the_whole_service() {
    let [large, _] = run(
        true,
        &[],
        |_, organisation, _| if organisation == LARGE { 50.0 } else { 0.0 },
    );
    common::check("share_alone_capacity_idle", 1.0 - large.work as f64 / (CAPACITY * 60.0));
}

#[test]
fn refusals_state_the_reason_and_the_retry_time() {
    let gate = Gate::new(admission::Settings::default());
    let second = Duration::from_secs(1);
    let urgent = admission::Request {
        urgency: Urgency::Urgent,
        target: TARGET,
        deadline: Instant::from_secs(30),
        deferrable: false,
        work: WORK,
    };
    let normal = admission::Request {
        urgency: Urgency::Normal,
        ..urgent
    };
    let hasty = admission::Request {
        deadline: Instant::from_secs(1),
        ..normal
    };
    let later = admission::Request {
        urgency: Urgency::Deferrable,
        deferrable: true,
        ..urgent
    };
    let refuse = |reason, millis| Decision::Refuse {
        reason,
        retry_after: Duration::from_millis(millis),
    };
    let table = [
        (urgent, Ok(()), 0, Decision::Admit),
        (urgent, Err(second), 0, Decision::Admit),
        (urgent, Err(second), 1_200, refuse(Reason::Share, 400)),
        (urgent, Ok(()), 1_200, Decision::Admit),
        (urgent, Ok(()), 2_500, refuse(Reason::Target, 700)),
        (normal, Ok(()), 2_500, Decision::Admit),
        (hasty, Ok(()), 2_500, refuse(Reason::Deadline, 2_500)),
        (later, Ok(()), 0, Decision::Admit),
        (later, Ok(()), 1_200, Decision::Defer),
    ];
    for (request, share, wait, decision) in table {
        gate.set(Instant::ZERO, CAPACITY, [Duration::from_millis(wait); 3], 1.0);
        assert_eq!(
            gate.decide(Instant::ZERO, request, share),
            decision,
            "{request:?} {share:?} {wait} ms"
        );
    }
}

#[test]
fn urgent_work_does_not_wait_for_deferrable_work() {
    let gate = Gate::new(admission::Settings::default());
    gate.set(Instant::ZERO, CAPACITY, [Duration::ZERO; 3], 1.0);
    let rebuild = admission::Request {
        urgency: Urgency::Deferrable,
        target: Duration::from_hours(1),
        deadline: Instant::from_secs(7_200),
        deferrable: true,
        work: 1_000_000,
    };
    assert_eq!(gate.decide(Instant::ZERO, rebuild, Ok(())), Decision::Admit);
    assert_eq!(gate.wait(Instant::ZERO, Urgency::Urgent), Duration::ZERO);
    assert_eq!(gate.wait(Instant::ZERO, Urgency::Deferrable), Duration::from_secs(100));
}

#[test]
fn work_that_fits_in_free_slots_does_not_wait() {
    // An engine has slots for four seconds of work, twice the target. Requests that fill the slots all start at once;
    // only later ones wait, and are refused if their wait is too long.
    let gate = Gate::new(admission::Settings::default());
    gate.set(Instant::ZERO, CAPACITY, [Duration::ZERO; 3], 1.0);
    gate.set_concurrency(Duration::from_secs(4));
    let work = (CAPACITY / 10.0) as u64;
    let request = admission::Request {
        urgency: Urgency::Urgent,
        target: Duration::from_secs(2),
        deadline: Instant::from_secs(30),
        deferrable: false,
        work,
    };
    let admitted = (0..100).filter(|_| gate.decide(Instant::ZERO, request, Ok(())) == Decision::Admit);
    // Forty requests of a tenth of a second fill the slots, and eighteen more fit into nine tenths of the target.
    assert_eq!(admitted.count(), 59);
    assert_eq!(gate.wait(Instant::ZERO, Urgency::Urgent), Duration::from_millis(1_900));
    // Each completed request frees capacity for another one.
    (0..2).for_each(|_| gate.complete(Urgency::Urgent, work));
    let admitted = (0..100).filter(|_| gate.decide(Instant::ZERO, request, Ok(())) == Decision::Admit);
    assert_eq!(admitted.count(), 2);
    assert_eq!(gate.wait(Instant::ZERO, Urgency::Urgent), Duration::from_millis(1_900));
}

quickcheck! {
    fn division_wastes_nothing_and_keeps_guarantees(raw: Vec<(u8, u16)>, capacity: u16) -> bool {
        let claimants: Vec<_> = raw
            .into_iter()
            .map(|(weight, demand)| Claimant { weight: f64::from(weight) + 1.0, demand: f64::from(demand) })
            .collect();
        let capacity = f64::from(capacity);
        let shares = divide(capacity, &claimants);
        let weights: f64 = claimants.iter().map(|claimant| claimant.weight).sum();
        let demand: f64 = claimants.iter().map(|claimant| claimant.demand).sum();
        let close = (shares.iter().sum::<f64>() - demand.min(capacity)).abs() < 1e-6;
        close && claimants.iter().zip(&shares).all(|(claimant, share)| {
            let guaranteed = capacity * claimant.weight / weights;
            *share <= claimant.demand && *share + 1e-6 >= claimant.demand.min(guaranteed)
        })
    }
}
