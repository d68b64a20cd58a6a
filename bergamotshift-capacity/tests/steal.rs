//! Deferred jobs in four zones: pushing, stealing and one queue for all, in virtual time.

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
    room: |_, _| SLOTS,
};

const ONE_ZONE: Case = Case { origin: |_| 0, ..EVEN };

/// Urgent work takes a zone for ten minutes, then the next: what pushing knew of rates is soon wrong.
const URGENT_MOVES: Case = Case {
    room: |second, zone| {
        let taken = (second / 600) as usize % ZONES == zone;
        if taken { 1.0 } else { SLOTS }
    },
    ..EVEN
};

/// A zone is lost after twenty minutes for half an hour; its jobs start anew elsewhere.
const ZONE_LOST: Case = Case {
    room: |second, zone| {
        let lost = zone == 1 && (1_200..3_000).contains(&second);
        if lost { 0.0 } else { SLOTS }
    },
    ..EVEN
};

#[test]
fn stealing_beats_pushing_and_nears_one_queue() {
    // Jobs wait in the zone of their caller. Pushing decides once, by figures that are five seconds old; when urgent
    // work or a lost zone then takes the room it counted on, the jobs are late. A zone that takes jobs when it has
    // room decides at the last moment, and moves only those.
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
