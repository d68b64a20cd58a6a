//! Traffic, memory and reaction times of the fleet at its current and its target size, in virtual time.

mod support;

use std::time::Duration;

use bergamotshift_fleet::note::Note;
use support::Fleet;
use support::Shape;

/// Maximum control traffic of an entry in bytes per second, sent plus received, including headers, acknowledgements and
/// handshakes.
const BYTES_PER_SECOND: u64 = 4_000;

/// Maximum state per entry in bytes; the memory limit of 128 MB has to leave room for the requests.
const STATE_BYTES: usize = 2_000_000;

struct Bounds {
    warm_up: u64,
    window: u64,
    trials: usize,
    leaving: Duration,
    note: Duration,
    death: Duration,
    /// Maximum age in milliseconds of the load reports that an entry holds of its own zone, at the 50th and 99th
    /// percentile.
    load_ages: [u128; 2],
}

fn check(shape: Shape, bounds: &Bounds) {
    let mut fleet = Fleet::new(shape, 101);
    fleet.run(Duration::from_secs(bounds.warm_up));
    assert!(fleet.has_converged(), "the fleet did not form in {} s", bounds.warm_up);

    let rates = fleet.bytes_per_second(Duration::from_secs(bounds.window));
    let max_rate = rates.last().copied().unwrap_or_default();
    assert!(max_rate <= BYTES_PER_SECOND, "an entry spends {max_rate} B/s");
    let ages = fleet.load_ages();
    let [p50, p99, _] = ages.summary();
    assert!(
        p50 <= bounds.load_ages[0] && p99 <= bounds.load_ages[1],
        "loads are {p50} and {p99} ms old"
    );
    assert_eq!(ages.missed, 0, "loads are unknown");
    let state = fleet.nodes.iter().map(|node| node.kernel.state_bytes()).max();
    assert!(
        state.is_some_and(|bytes| bytes <= STATE_BYTES),
        "{state:?} bytes of state"
    );

    let leaving = fleet.leaving_spread(bounds.trials, bounds.leaving);
    assert_eq!(leaving.missed, 0, "leaving: {:?} ms", leaving.summary());
    let notes = fleet.note_spread(bounds.trials, bounds.note);
    assert_eq!(notes.missed, 0, "configuration: {:?} ms", notes.summary());
    let deaths = fleet.death_spread(1, bounds.death);
    assert_eq!(deaths.missed, 0, "death: {:?} ms", deaths.summary());
    assert_eq!(fleet.false_deaths(), 0);
}

#[test]
fn current_size() {
    let bounds = Bounds {
        warm_up: 30,
        window: 30,
        trials: 8,
        leaving: Duration::from_secs(1),
        note: Duration::from_secs(1),
        death: Duration::from_secs(8),
        load_ages: [1_000, 2_000],
    };
    check(Shape::CURRENT, &bounds);
}

#[test]
fn target_size() {
    let bounds = Bounds {
        warm_up: 100,
        window: 20,
        trials: 2,
        leaving: Duration::from_secs(3),
        note: Duration::from_secs(2),
        death: Duration::from_secs(10),
        load_ages: [6_000, 20_000],
    };
    check(Shape::TARGET, &bounds);
}

#[test]
fn a_note_fits_in_the_room_beside_a_probe() {
    assert!(Note::MAX_BODY < bergamotshift_fleet::settings::Settings::default().max_probe_bytes);
}
