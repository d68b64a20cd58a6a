//! Comparison of the balancers for deferred jobs in four zones, in virtual time.

mod common;

use bergamotshift_capacity::bench::jobs;
use bergamotshift_capacity::bench::jobs::Case;
use bergamotshift_capacity::bench::jobs::SLOTS;
use bergamotshift_capacity::bench::jobs::ZONES;
use bergamotshift_capacity::prelude::*;
use common::check;

const SEEDS: u64 = 10;

const EVEN: Case = Case {
    origin: |id| id as usize % ZONES,
    slots: |_, _| SLOTS,
};

const ONE_ZONE: Case = Case { origin: |_| 0, ..EVEN };

/// Urgent work occupies one zone for ten minutes, then the next, so the rates that pushing relies on are soon wrong.
const URGENT_MOVES: Case = Case {
    slots: |second, zone| {
        let taken = (second / 600) as usize % ZONES == zone;
        if taken { 1.0 } else { SLOTS }
    },
    ..EVEN
};

/// A zone is lost after twenty minutes for half an hour, and its jobs start again elsewhere.
const ZONE_LOST: Case = Case {
    slots: |second, zone| {
        let lost = zone == 1 && (1_200..3_000).contains(&second);
        if lost { 0.0 } else { SLOTS }
    },
    ..EVEN
};

#[test]
fn stealing_beats_pushing_and_approaches_one_shared_queue() {
    // Pushing decides once, based on states that are five seconds old. When urgent work or the loss of a zone then
    // takes the capacity that it relied on, the jobs are late. Stealing decides when a zone has free slots, and moves
    // only the jobs that it can start.
    let cases = [
        ("even", EVEN),
        ("one_zone", ONE_ZONE),
        ("urgent_moves", URGENT_MOVES),
        ("zone_lost", ZONE_LOST),
    ];
    for (name, case) in cases {
        let run = |balancer| {
            let figures = jobs::average(&case, balancer, SEEDS).unwrap();
            println!("{name:13} {balancer:10} {figures:.3?}");
            figures
        };
        let bound = jobs::bound(&case, SEEDS);
        println!("{name:13} {:10} {bound:.3?}", "one queue");
        let push = run("push");
        run("local");
        run("push-steal");
        let ours = run(steal::DEFAULT);
        check(&format!("steal_{name}_mean_to_central"), ours.mean / bound.mean);
        check(&format!("steal_{name}_mean_to_push"), ours.mean / push.mean);
        check(&format!("steal_{name}_missed"), ours.missed as f64);
        check(&format!("steal_{name}_recomputed"), ours.recomputed);
    }
}
