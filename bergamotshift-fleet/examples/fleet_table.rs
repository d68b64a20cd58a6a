//! Prints the fleet's control traffic and reaction times in virtual time, one row per size.
//!
//! Run with `cargo run --release -p bergamotshift-fleet --example fleet_table`. Traffic is the sum of sent and received
//! bytes, including headers, acknowledgements and handshakes. Processor time is that of the whole program per entry and
//! virtual second, the test harness included, and thus an upper bound for the kernel.

#![expect(clippy::print_stdout, reason = "the table is the program's result")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;
use std::time::Instant;

use support::Fleet;
use support::Shape;
use support::trial::percentile;

const WARM_UP: Duration = Duration::from_mins(2);
const WINDOW: Duration = Duration::from_mins(2);

fn shapes() -> [Shape; 5] {
    let middle = Shape {
        zones: 5,
        regions: 1,
        ..Shape::TARGET
    };
    [
        Shape::CURRENT,
        Shape {
            entries: 50,
            endpoints: 80,
            ..middle
        },
        Shape {
            entries: 130,
            endpoints: 200,
            zones: 10,
            regions: 2,
            ..middle
        },
        Shape::TARGET,
        Shape {
            entries: 39,
            endpoints: 60,
            zones: 1,
            regions: 1,
            ..middle
        },
    ]
}

/// Runs all sizes, or only the one whose index is given as an argument.
fn main() {
    println!(
        "entries/endpoints/zones | B/s p50 max | packets/s p50 max | leaving ms p50 p99 max missed | config ms | dead ms | us/entry/s | state B"
    );
    let chosen: Option<usize> = std::env::args().nth(1).and_then(|text| text.parse().ok());
    for (index, shape) in shapes().into_iter().enumerate() {
        if chosen.is_none_or(|chosen| chosen == index) {
            row(shape);
        }
    }
}

fn row(shape: Shape) {
    let mut fleet = Fleet::new(shape, 7);
    fleet.run(WARM_UP);
    let started = Instant::now();
    let bytes = fleet.bytes_per_second(WINDOW);
    let processor = started.elapsed().as_secs_f64() * 1e6 / (shape.entries as f64 * WINDOW.as_secs_f64());
    let packets: Vec<u64> = fleet
        .traffic
        .packets
        .iter()
        .map(|count| count / WINDOW.as_secs())
        .collect();
    let state = fleet.nodes.iter().map(|node| node.kernel.state_bytes()).max();
    let ages = fleet.load_ages();
    let queue = fleet.longest_queue();
    let converged = fleet.has_converged();
    let trials = shape.endpoints.min(20);
    let leaving = fleet.leaving_spread(trials, Duration::from_secs(10));
    let config = fleet.note_spread(20, Duration::from_secs(10));
    let dead = fleet.death_spread(3, Duration::from_secs(30));
    println!(
        "{}/{}/{} | {:?} {:?} | {:?} {:?} | {:?} {} | {:?} {} | {:?} {} | {processor:.0} | {state:?} | load age ms {:?} {} queue {queue} | converged {converged}, handshakes {}",
        shape.entries,
        shape.endpoints,
        shape.zones,
        percentile(&bytes, 0.5),
        bytes.last(),
        percentile(&packets, 0.5),
        percentile(&packets, 1.0),
        leaving.summary(),
        leaving.missed,
        config.summary(),
        config.missed,
        dead.summary(),
        dead.missed,
        ages.summary(),
        ages.missed,
        fleet.traffic.handshakes,
    );
}
