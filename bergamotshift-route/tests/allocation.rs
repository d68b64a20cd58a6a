//! Choosing an endpoint and counting the request allocate nothing.
//!
//! Allocations are counted for the whole process, so this file has only one test.

use std::alloc::System;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_route::prelude::*;
use rand_pcg::Pcg64Mcg;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[test]
fn a_decision_allocates_nothing() {
    let mut registry = Registry::default();
    let service = registry.service(&name::Service::new_static("model")).unwrap();
    for number in 0..600 {
        let key = registry
            .insert(Endpoint {
                service,
                ..Endpoint::default()
            })
            .unwrap();
        let report = Report {
            sequence: 1,
            running: number % 90,
            slots: 128,
            ..Report::default()
        };
        registry.record_report(key, report, Instant::ZERO).unwrap();
    }
    let view = registry.publish(Instant::ZERO);
    let prefix: Vec<u64> = (1..20_u64)
        .map(|block| block.wrapping_mul(0x9E37_79B9_7F4A_7C15))
        .collect();
    let request = Request {
        service,
        prefix: &prefix,
        prompt_tokens: 5_000,
        ..Request::default()
    };
    let mut rng = Pcg64Mcg::new(1);
    // Building a policy allocates, so the policies are built before counting starts.
    let policies: Vec<_> = policy::names().into_iter().filter_map(policy::build).collect();
    let control = Region::new(ALLOCATOR);
    drop(core::hint::black_box(vec![0_u8; 64]));
    assert!(control.change().allocations > 0, "the count misses allocations");

    let region = Region::new(ALLOCATOR);
    let mut chosen = 0;
    for policy in &policies {
        for _ in 0..100 {
            let choice = policy.choose(&view, &request, &mut rng).unwrap();
            drop(view.record_sent(&choice, &request));
            chosen += 1;
        }
    }
    let counted = region.change();
    assert_eq!((chosen, counted.allocations, counted.reallocations), (500, 0, 0));
}
