//! Small plain requests at a fixed rate: what each path adds to a direct call made by the same threads meanwhile.

use core::time::Duration;
use std::thread;

use bergamotshift_load::prelude::*;
use bergamotshift_load::report::Added;

use crate::Site;
use crate::figure::Bounds;
use crate::figure::median;
use crate::role::Child;
use crate::role::KEY;

const ROUNDS: u64 = 7;
const RATE: f64 = 2_400.0;
const DIRECT_RATE: f64 = 480.0;
const DURATION: Duration = Duration::from_secs(4);

pub fn measure(site: &Site, bounds: &mut Bounds) {
    println!(
        "{RATE}/s small plain requests, {ROUNDS} rounds of {} s; microseconds",
        DURATION.as_secs()
    );
    println!(
        "{:8}{:>8}{:>8}{:>10}{:>10}{:>11}{:>11}{:>9}{:>7}",
        "path", "p50", "p99", "direct50", "direct99", "added p50", "added p99", "lag p99", "cores"
    );
    let mut rounds = Vec::new();
    for round in 0..ROUNDS {
        // Both at once: what else the machine does in these seconds falls on both alike.
        let [hop, entry] = thread::scope(|scope| {
            [&site.hop, &site.entry]
                .map(|child| scope.spawn(move || run(site, child, round)))
                .map(|run| run.join().expect("the run ends"))
        });
        show("hop", &hop);
        show("entry", &entry);
        rounds.push([hop.added, entry.added]);
    }
    let middle = |figure: fn(&[Added; 2]) -> i64| median(rounds.iter().map(|round| figure(round) as f64).collect());
    println!(
        "medians   hop: p50 +{} p99 +{}   entry: p50 +{} p99 +{}",
        middle(|[hop, _]| hop.p50_us()),
        middle(|[hop, _]| hop.p99_us()),
        middle(|[_, entry]| entry.p50_us()),
        middle(|[_, entry]| entry.p99_us()),
    );
    bounds.at_most(
        "added p99 at 2,400/s, ms",
        middle(|[_, entry]| entry.p99_us()) / 1e3,
        1.0,
    );
    let ratio = |[hop, entry]: &[Added; 2]| entry.p99_us() as f64 / hop.p99_us() as f64;
    bounds.at_most(
        "added p99 over the hop's",
        median(rounds.iter().map(ratio).collect()),
        1.3,
    );
}

/// One path's figures of one round.
#[derive(Debug)]
struct Round {
    added: Added,
    lag_us: u64,
    cores: f64,
}

fn show(name: &str, round: &Round) {
    let Added { through, direct, .. } = round.added;
    println!(
        "{name:8}{:>8}{:>8}{:>10}{:>10}{:>11}{:>11}{:>9}{:>7.2}",
        through.p50_us,
        through.p99_us,
        direct.p50_us,
        direct.p99_us,
        round.added.p50_us(),
        round.added.p99_us(),
        round.lag_us,
        round.cores,
    );
}

fn run(site: &Site, child: &Child, round: u64) -> Round {
    let before = child.processor();
    let report = bergamotshift_load::run(Plan {
        callers: vec![child.address],
        key: KEY.into(),
        mix: vec![Share {
            path: "/app/status".into(),
            ..Default::default()
        }],
        rate: RATE,
        arrival: Process::Poisson,
        duration: DURATION,
        seed: round,
        threads: 2,
        direct: vec![site.upstream.address],
        direct_rate: DIRECT_RATE,
        ..Default::default()
    })
    .expect("the plan is sound");
    assert_eq!(report.totals.whole, report.totals.sent, "{}", report.to_text());
    Round {
        added: report.added.expect("direct calls were made"),
        lag_us: report.lag.p99_us,
        cores: (child.processor() - before) / (report.elapsed_ms as f64 / 1e3),
    }
}
