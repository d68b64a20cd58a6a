//! How soon a change is in force, and what following costs the platform, in virtual time.

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

/// How soon a change is in force everywhere, at most.
const IN_FORCE: Duration = Duration::from_secs(7);

/// 430 changes a day, in an hour.
const CHANGES_PER_HOUR: u64 = 18;

/// A fleet and what it may cost.
struct Fleet {
    zones: usize,
    each: usize,
    loss: f64,
    /// The longest way between two entries.
    way: Duration,
    /// Rows read by an entry in an hour, on average, at most.
    reads: u64,
    /// Rows written by an entry in an hour, on average, at most.
    writes: u64,
    /// The longest time from the acceptance until all entries have a change in force, at most.
    in_force: Duration,
}

/// What was counted.
#[derive(Debug)]
struct Count {
    reads: u64,
    writes: u64,
    fetches: u64,
    staging: Duration,
    in_force: Duration,
}

/// Runs a fleet for a third of an hour with 6 changes: 430 a day are 17.9 an hour.
fn measure(fleet: &Fleet) -> Count {
    const SPANS_PER_HOUR: u64 = 3;
    const CHANGES: u32 = (CHANGES_PER_HOUR / SPANS_PER_HOUR) as u32;
    const APART: Duration = Duration::from_secs(200);
    let mut world = World::new(fleet.zones, fleet.each, 7);
    world.faults.loss = fleet.loss;
    world.faults.longest = fleet.way;
    let zones: Vec<_> = (0..fleet.zones).map(World::zone).collect();
    let zones: Vec<_> = zones.iter().map(String::as_str).collect();
    let mut base = Manifest::default();
    let mut next = folder(&zones, "20-classes.toml", &class("a", 1));
    world.run(Duration::from_secs(5));
    let before = world.calls();
    let (mut staging, mut in_force) = (Duration::ZERO, Duration::ZERO);
    for change in 1..=CHANGES {
        let start = world.now;
        let node = change as usize % world.nodes.len();
        world.apply(node, change.into(), &base, &next);
        let outcome = world.outcome(node);
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
        let accepted = world.now;
        staging = staging.max(accepted.since(start));
        assert!(world.run_until(accepted + IN_FORCE, |world| world.everywhere(change.into())));
        in_force = in_force.max(world.now.since(accepted));
        world.run(APART.saturating_sub(world.now.since(start)));
        (base, next) = (next.clone(), edit(&next, "20-classes.toml", &class("a", change + 1)));
    }
    let after = world.calls();
    let entries = world.nodes.len() as u64;
    let per_hour = |after: u64, before: u64| (after - before) * SPANS_PER_HOUR / entries;
    Count {
        reads: per_hour(after.0, before.0),
        writes: per_hour(after.1, before.1),
        fetches: per_hour(after.2, before.2),
        staging,
        in_force,
    }
}

fn check(fleet: &Fleet) {
    let count = measure(fleet);
    let entries = fleet.zones * fleet.each;
    println!("{entries} entries, {} of messages lost: {count:?}", fleet.loss);
    assert!(count.reads <= fleet.reads, "{count:?}");
    assert!(count.writes <= fleet.writes, "{count:?}");
    assert!(count.fetches <= CHANGES_PER_HOUR, "{count:?}");
    assert!(count.in_force <= fleet.in_force, "{count:?}");
    assert!(count.staging + count.in_force <= IN_FORCE, "{count:?}");
}

#[test]
fn eight_entries() {
    check(&Fleet {
        zones: 4,
        each: 2,
        loss: 0.05,
        way: Duration::from_millis(3),
        reads: 3_700,
        writes: 35,
        in_force: Duration::from_secs(2),
    });
}

#[test]
fn three_hundred_and_ninety_entries() {
    check(&Fleet {
        zones: 10,
        each: 39,
        loss: 0.05,
        way: Duration::from_millis(80),
        reads: 310,
        writes: 2,
        in_force: Duration::from_secs(2),
    });
}

/// No message between entries arrives at all. Every zone follows by its own reads of the platform; entries that read
/// seldom would be late, so the two of a small zone both read often.
#[test]
fn eight_entries_without_any_gossip() {
    check(&Fleet {
        zones: 4,
        each: 2,
        loss: 1.0,
        way: Duration::from_millis(3),
        reads: 3_700,
        writes: 35,
        in_force: Duration::from_secs(2),
    });
}

/// The platform is down for a quarter of an hour. The entries that read often slow down, and all are spread out, so
/// that the platform's first seconds bring it no more reads than any other second.
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
