//! Cost of one admission decision and of the control thread's tick, by the number of organisations.

use core::hint::black_box;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::admission::Request;
use bergamotshift_limit::limiter::Kernel;
use bergamotshift_limit::limiter::Organisation;
use bergamotshift_limit::limiter::Service;
use bergamotshift_limit::limiter::Settings;
use bergamotshift_limit::prelude::*;
use bergamotshift_limit::quota::Cost;
use bergamotshift_limit::quota::Limits;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

const COST: Cost = Cost {
    tokens: 500,
    spend: Price::from_micros(50),
};

/// Limits of every kind that no benchmark reaches.
const LIMITS: Limits = Limits {
    requests_per_second: Some(1e6),
    burst: 1e6,
    tokens_per_second: Some(1e9),
    spend_per_hour: Some(Price::from_micros(1_000_000_000_000)),
};

fn request(now: Instant) -> Request {
    Request {
        urgency: Urgency::Urgent,
        target: Duration::from_secs(2),
        deadline: now + Duration::from_secs(30),
        deferrable: false,
        work: 500,
    }
}

/// Benchmarks admission decisions without look-ups by name.
fn admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    for organisations in [5, 50, 500] {
        let view = || demand::View::new(demand::Settings::default(), Vec::new(), 0);
        let mut ledger = Ledger::new(view());
        let mut pool = Pool::new(share::Settings::default(), view());
        let names = (0..organisations).map(|index| name::Organisation::new(format!("organisation-{index}")));
        let rows: Vec<_> = names
            .map(|name| (ledger.open(Instant::ZERO, name.clone(), LIMITS), pool.join(name, 1.0)))
            .collect();
        let gate = Gate::new(admission::Settings::default());
        gate.set(Instant::ZERO, 1e9, [Duration::ZERO; 3], 1.0);
        let mut rng = Pcg64Mcg::new(1);
        let mut micros = 0;
        group.bench_function(BenchmarkId::from_parameter(organisations), |bencher| {
            bencher.iter(|| {
                micros += 5;
                let now = Instant::from_micros(micros);
                let (account, allowance) = &rows[rng.random_range(0..rows.len())];
                black_box(admission::decide(
                    now,
                    request(now),
                    COST,
                    account,
                    allowance,
                    &gate,
                    &mut rng,
                ))
            });
        });
    }
    group.finish();
}

/// Benchmarks admission decisions by name, as workers make them.
fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for organisations in [5, 50, 500] {
        let service = name::Service::new_static("planner-llm");
        let organisation = |index: usize| Organisation {
            name: name::Organisation::new(format!("organisation-{index}")),
            weight: 1.0,
            limits: LIMITS,
            services: vec![service.clone()],
        };
        let configured: Vec<_> = (0..organisations).map(organisation).collect();
        let services = [Service {
            name: service.clone(),
            target: Duration::from_secs(2),
        }];
        let mut kernel = Kernel::new(Settings::default(), Vec::new(), 0);
        let table = kernel.configure(Instant::ZERO, &configured, &services);
        let mut rng = Pcg64Mcg::new(1);
        let mut micros = 0;
        group.bench_function(BenchmarkId::from_parameter(organisations), |bencher| {
            bencher.iter(|| {
                micros += 5;
                let now = Instant::from_micros(micros);
                let organisation = &configured[rng.random_range(0..configured.len())].name;
                black_box(table.decide(now, organisation, &service, request(now), COST, &mut rng))
            });
        });
    }
    group.finish();
}

/// Records the announcements of a fleet of the target size: 77 entries of the zone with 60 organisations each, and 4
/// zones.
fn observe(view: &mut demand::View, organisations: usize) {
    let rates = |first: usize, count: usize| {
        let name = |index: usize| name::Organisation::new(format!("organisation-{}", (first + index) % organisations));
        (0..count.min(organisations)).map(|index| (name(index), 1.0)).collect()
    };
    for entry in 0..77 {
        let origin = demand::Origin::Entry(name::Entry::new(format!("entry-{entry}")));
        view.observe(Instant::ZERO, origin, Duration::ZERO, rates(entry * 7, 60));
    }
    for zone in 0..4 {
        let origin = demand::Origin::Zone(name::Zone::new(format!("zone-{zone}")));
        view.observe(Instant::ZERO, origin, Duration::ZERO, rates(0, organisations));
    }
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    for organisations in [5, 50, 500] {
        let others = (0..4).map(|zone| name::Zone::new(format!("zone-{zone}"))).collect();
        let mut pool = Pool::new(
            share::Settings::default(),
            demand::View::new(demand::Settings::default(), others, 77),
        );
        for index in 0..organisations {
            pool.join(name::Organisation::new(format!("organisation-{index}")), 1.0);
        }
        observe(&mut pool.view, organisations);
        let supply = share::Supply {
            capacity: 1e6,
            wait: Duration::ZERO,
            target: Duration::from_secs(2),
        };
        let mut micros = 0;
        group.bench_function(BenchmarkId::from_parameter(organisations), |bencher| {
            bencher.iter(|| {
                micros += 1;
                pool.tick(Instant::from_micros(micros), black_box(supply));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, admit, decide, tick);
criterion_main!(benches);
