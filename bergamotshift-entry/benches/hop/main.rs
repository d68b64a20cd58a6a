//! A small plain request: direct, through a bare reverse hop of the same HTTP library, and through an entry.
//!
//! The bare hop has none of the project's logic: it passes each request to one endpoint and the answer back. It is
//! the baseline for what an entry adds. All three are measured in one run, on the same endpoint.

mod load;
mod servers;

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_config::digest::Digest;
use bergamotshift_config::folder;
use bergamotshift_entry::Daemon;
use bergamotshift_entry::Handle;
use bergamotshift_entry::Settings;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;

use crate::load::Load;
use crate::servers::Server;

/// Threads of the hop and of the entry.
const THREADS: usize = 4;

const KEY: &str = "a key for the bench";

fn entry(endpoint: &Server) -> Handle {
    let (digest, address) = (Digest::of(KEY), endpoint.address());
    let text = format!(
        r#"
[[zone]]
name = "zone-a"
region = "region"

[[class]]
name = "small"
price_reclaimable = 0.1
price_on_demand = 0.3

[[organisation]]
name = "acme"
keys = ["{digest}"]

[[service]]
name = "app"
kind = "plain"
adapter = "http"
path = "/app"

[[endpoint]]
name = "one"
service = "app"
zone = "zone-a"
class = "small"
address = "{address}"
"#
    );
    let config = folder::parse(&[("bench.toml", text)]).unwrap_or_else(|error| panic!("{error}"));
    Daemon::start(Settings {
        config: Some(Arc::new(config)),
        threads: THREADS,
        ..Settings::default()
    })
    .expect("the entry starts")
}

fn hop(criterion: &mut Criterion) {
    let endpoint = Server::endpoint(THREADS);
    let bare = Server::hop(THREADS, endpoint.address());
    let entry = entry(&endpoint);
    let ways = [
        ("direct", endpoint.address()),
        ("bare hop", bare.address()),
        ("entry", entry.callers()),
    ];
    for (name, connections) in [("one at a time", 1), ("saturated", 64)] {
        let mut group = criterion.benchmark_group(name);
        group
            .throughput(Throughput::Elements(1))
            .warm_up_time(Duration::from_secs(1))
            .measurement_time(Duration::from_secs(5))
            .sample_size(20);
        for (way, address) in ways {
            let load = Load::new(address, KEY, connections);
            group.bench_function(BenchmarkId::from_parameter(way), |bencher| {
                bencher.iter_custom(|requests| load.run(requests));
            });
        }
        group.finish();
    }
    load::compare(&ways, KEY);
}

criterion_group!(benches, hop);
criterion_main!(benches);
