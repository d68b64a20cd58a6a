//! Time to choose an endpoint and to publish a view, by number of endpoints.

use core::hint::black_box;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_route::prelude::*;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use rand_pcg::Pcg64Mcg;

const PROMPT_BLOCKS: u64 = 12;

/// Returns a registry of loaded endpoints, each with hints for one of 500 prompt templates.
fn site(endpoints: u32) -> Registry {
    let mut registry = Registry::default();
    registry.set_entries(8);
    let service = registry.service(&name::Service::new_static("model")).expect("one fits");
    for number in 0..endpoints {
        let zone = registry
            .zone(&name::Zone::new(format!("zone-{}", number % 5)))
            .expect("five fit");
        let price = Price::from_micros(8_000_000 + u64::from(number % 5) * 400_000);
        let endpoint = Endpoint {
            service,
            zone,
            price,
            ..Endpoint::default()
        };
        let key = registry.insert(endpoint).expect("they fit");
        let report = Report {
            sequence: 1,
            running: 40 + number % 60,
            slots: 128,
            prefill_backlog: number % 7 * 300,
            decode_rate: 2_000,
            ..Report::default()
        };
        registry.record_report(key, report, Instant::ZERO).expect("it is known");
        registry
            .hints()
            .record(&prompt(u64::from(number) % 500), key, Instant::ZERO);
    }
    registry
}

fn prompt(template: u64) -> Vec<u64> {
    (0..PROMPT_BLOCKS)
        .map(|block| (template << 8 | block).wrapping_mul(0x9E37_79B9_7F4A_7C15))
        .collect()
}

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("decide");
    for endpoints in [12, 150, 600, 2_400] {
        let registry = site(endpoints);
        let view = registry.publish(Instant::ZERO);
        let prompts: Vec<_> = (0..512).map(prompt).collect();
        for name in policy::names() {
            let policy = policy::build(name).expect("it registered itself");
            let mut rng = Pcg64Mcg::new(1);
            let mut turn = 0;
            group.bench_function(BenchmarkId::new(name, endpoints), |b| {
                b.iter(|| {
                    turn = (turn + 1) % prompts.len();
                    let request = Request {
                        now: Instant::from_millis(400),
                        urgency: Urgency::Urgent,
                        prompt_tokens: 3_300,
                        prefix: &prompts[turn],
                        ..Request::default()
                    };
                    black_box(policy.choose(&view, &request, &mut rng))
                });
            });
        }
    }
    group.finish();
}

fn publish(c: &mut Criterion) {
    let mut group = c.benchmark_group("publish");
    for endpoints in [12, 150, 600, 2_400] {
        let registry = site(endpoints);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            b.iter(|| black_box(registry.publish(Instant::ZERO)));
        });
    }
    group.finish();
}

criterion_group!(benches, decide, publish);
criterion_main!(benches);
