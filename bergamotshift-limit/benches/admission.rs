//! The cost of one admission, against the number of organisations.

use core::hint::black_box;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::admission::Request;
use bergamotshift_limit::prelude::*;
use bergamotshift_limit::quota::Cost;
use bergamotshift_limit::quota::Limits;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

fn admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    for organisations in [5, 50, 500] {
        let view = || demand::View::new(demand::Settings::default(), Vec::new(), 0);
        let mut ledger = Ledger::new(view());
        let mut pool = Pool::new(share::Settings::default(), view());
        let limits = Limits {
            requests_per_second: Some(1e6),
            burst: 1e6,
            tokens_per_second: Some(1e9),
            spend_per_hour: Some(Price::from_micros(1_000_000_000_000)),
        };
        let names = (0..organisations).map(|index| name::Organisation::new(format!("organisation-{index}")));
        let rows: Vec<_> = names
            .map(|name| (ledger.open(Instant::ZERO, name.clone(), limits), pool.join(name, 1.0)))
            .collect();
        let gate = Gate::new(admission::Settings::default());
        gate.set(Instant::ZERO, 1e9, [Duration::ZERO; 3], 1.0);
        let cost = Cost {
            tokens: 500,
            spend: Price::from_micros(50),
        };
        let mut rng = Pcg64Mcg::new(1);
        let mut micros = 0;
        group.bench_function(BenchmarkId::from_parameter(organisations), |bencher| {
            bencher.iter(|| {
                micros += 5;
                let now = Instant::from_micros(micros);
                let request = Request {
                    urgency: Urgency::Urgent,
                    target: Duration::from_secs(2),
                    deadline: now + Duration::from_secs(30),
                    deferrable: false,
                    work: 500,
                };
                let (account, cell) = &rows[rng.random_range(0..rows.len())];
                black_box(admission::decide(now, request, cost, account, cell, &gate, &mut rng))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, admit);
criterion_main!(benches);
