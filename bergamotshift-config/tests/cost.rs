//! Tests of the time until a change is in force and of the number of calls to the platform, in virtual time.

mod support;

use core::time::Duration;

use bergamotshift_config::accept::Head;
use bergamotshift_config::accept::View;
use bergamotshift_config::accept::member::Announcement;
use bergamotshift_config::accept::proposer::Outcome;
use bergamotshift_config::accept::record::Id;
use bergamotshift_config::accept::record::Proposal;
use bergamotshift_config::accept::record::Revision;
use bergamotshift_config::accept::record::Version;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use support::class;
use support::edit;
use support::folder;
use support::world::World;

/// Maximum time until a change is in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);

/// Changes per hour: 430 per day.
const CHANGES_PER_HOUR: u64 = 18;

/// Fleet and the limits on its cost.
struct Fleet {
    zones: usize,
    entries_per_zone: usize,
    loss: f64,
    /// Maximum delay of a message between two entries.
    max_delay: Duration,
    /// Maximum average number of rows read by an entry per hour.
    reads: u64,
    /// Maximum average number of rows written by an entry per hour.
    writes: u64,
    /// Maximum time from the acceptance until a change is in force at all entries.
    in_force: Duration,
}

/// Measured cost: calls per entry and hour, and the longest times of a change.
#[derive(Debug)]
struct Cost {
    reads: u64,
    writes: u64,
    fetches: u64,
    staging: Duration,
    in_force: Duration,
}

/// Runs a fleet for a third of an hour with 6 changes; 430 changes per day are 17.9 per hour.
fn measure(fleet: &Fleet) -> Cost {
    const SPANS_PER_HOUR: u64 = 3;
    const CHANGES: u32 = (CHANGES_PER_HOUR / SPANS_PER_HOUR) as u32;
    const CHANGE_INTERVAL: Duration = Duration::from_secs(200);
    let mut world = World::new(fleet.zones, fleet.entries_per_zone, 7);
    world.faults.loss = fleet.loss;
    world.faults.max_delay = fleet.max_delay;
    let zones: Vec<_> = (0..fleet.zones).map(World::zone).collect();
    let zones: Vec<_> = zones.iter().map(String::as_str).collect();
    let mut base = Manifest::default();
    let mut next = folder(&zones, "20-classes.toml", &class("a", 1));
    world.run(Duration::from_secs(5));
    let before = world.calls();
    let (mut staging, mut in_force) = (Duration::ZERO, Duration::ZERO);
    for change in 1..=CHANGES {
        let started_at = world.now;
        let node = change as usize % world.nodes.len();
        world.apply(node, change.into(), &base, &next);
        let outcome = world.outcome(node);
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
        let accepted_at = world.now;
        staging = staging.max(accepted_at.since(started_at));
        assert!(world.run_until(accepted_at + IN_FORCE_TIMEOUT, |world| {
            world.in_force_everywhere(change.into())
        }));
        in_force = in_force.max(world.now.since(accepted_at));
        world.run(CHANGE_INTERVAL.saturating_sub(world.now.since(started_at)));
        (base, next) = (next.clone(), edit(&next, "20-classes.toml", &class("a", change + 1)));
    }
    let after = world.calls();
    let entries = world.nodes.len() as u64;
    let per_hour = |after: u64, before: u64| (after - before) * SPANS_PER_HOUR / entries;
    Cost {
        reads: per_hour(after.0, before.0),
        writes: per_hour(after.1, before.1),
        fetches: per_hour(after.2, before.2),
        staging,
        in_force,
    }
}

fn assert_cost(fleet: &Fleet) {
    let cost = measure(fleet);
    let entries = fleet.zones * fleet.entries_per_zone;
    println!("{entries} entries, {} of messages lost: {cost:?}", fleet.loss);
    assert!(cost.reads <= fleet.reads, "{cost:?}");
    assert!(cost.writes <= fleet.writes, "{cost:?}");
    assert!(cost.fetches <= CHANGES_PER_HOUR, "{cost:?}");
    assert!(cost.in_force <= fleet.in_force, "{cost:?}");
    assert!(cost.staging + cost.in_force <= IN_FORCE_TIMEOUT, "{cost:?}");
}

#[test]
fn eight_entries() {
    assert_cost(&Fleet {
        zones: 4,
        entries_per_zone: 2,
        loss: 0.05,
        max_delay: Duration::from_millis(3),
        reads: 3_700,
        writes: 35,
        in_force: Duration::from_secs(2),
    });
}

#[test]
fn three_hundred_and_ninety_entries() {
    assert_cost(&Fleet {
        zones: 10,
        entries_per_zone: 39,
        loss: 0.05,
        max_delay: Duration::from_millis(80),
        reads: 310,
        writes: 2,
        in_force: Duration::from_secs(2),
    });
}

/// All messages between entries are lost, so every entry depends on its own reads of the platform. Entries that read
/// rarely would be late; in a zone of two, both entries are pollers.
#[test]
fn eight_entries_without_any_gossip() {
    assert_cost(&Fleet {
        zones: 4,
        entries_per_zone: 2,
        loss: 1.0,
        max_delay: Duration::from_millis(3),
        reads: 3_700,
        writes: 35,
        in_force: Duration::from_secs(2),
    });
}

/// The platform is down for a quarter of an hour. If all entries read again at the same moment, they would overload it
/// when it recovers. Pollers back off and reads have jitter, so the first seconds bring no peak of reads.
#[test]
fn the_platform_is_not_stampeded_when_it_comes_back() {
    let mut world = World::new(10, 39, 7);
    world.run(Duration::from_mins(1));
    let reads = |world: &mut World, span| {
        let before = world.calls().0;
        world.run(span);
        world.calls().0 - before
    };
    let usual = reads(&mut world, Duration::from_mins(1)) / 60;
    world.faults.platform_down = true;
    world.run(Duration::from_mins(15));
    let tried = reads(&mut world, Duration::from_mins(1)) / 60;
    world.faults.platform_down = false;
    let seconds: Vec<_> = (0..30).map(|_| reads(&mut world, Duration::from_secs(1))).collect();
    println!("reads a second: {usual} usually, {tried} tried while down, then {seconds:?}");
    assert!(tried <= usual);
    assert!(seconds.iter().all(|reads| *reads <= 2 * usual), "{seconds:?}");
}

#[test]
fn an_announcement_is_small() {
    let revision = |version| Revision {
        version: Version::new(version),
        digest: Digest::of(b"content"),
    };
    let quiet = Announcement {
        view: View {
            row: 300_000,
            head: Head {
                accepted: Some(revision(100_000)),
                proposed: None,
            },
        },
        holds: true,
    };
    let mut busy = quiet;
    busy.view.head.proposed = Some(Proposal {
        id: Id::new(u128::MAX),
        revision: revision(100_001),
    });
    let size = |announcement: &Announcement| postcard::to_stdvec(announcement).unwrap().len();
    println!("{} bytes, {} with a proposal", size(&quiet), size(&busy));
    assert!(size(&quiet) <= 42);
    assert!(size(&busy) <= 100);
}
