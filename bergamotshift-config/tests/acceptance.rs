//! Tests of the acceptance protocol in a simulated fleet with faults, in virtual time.

mod support;

use core::time::Duration;
use std::collections::BTreeSet;

use bergamotshift_config::accept::proposer::Outcome;
use bergamotshift_config::accept::record;
use bergamotshift_config::accept::record::Progress;
use bergamotshift_config::accept::record::Record;
use bergamotshift_config::accept::record::Stage;
use bergamotshift_config::manifest::Manifest;
use support::class;
use support::edit;
use support::folder;
use support::world::World;

/// Maximum time until a change is in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);

fn initial_folder(zones: usize) -> Manifest {
    let zones: Vec<_> = (0..zones).map(World::zone).collect();
    let zones: Vec<_> = zones.iter().map(String::as_str).collect();
    folder(&zones, "20-classes.toml", &class("a", 1))
}

/// Starts a fleet with version 1 in force everywhere.
fn start_fleet(zones: usize, entries_per_zone: usize, seed: u64) -> (World, Manifest) {
    let mut world = World::new(zones, entries_per_zone, seed);
    let base = initial_folder(zones);
    world.run(Duration::from_secs(5));
    world.apply(0, 1, &Manifest::default(), &base);
    assert_eq!(accepted_version(&world.outcome(0)), Some((1, 0)));
    assert_in_force_everywhere(&mut world, 1);
    (world, base)
}

/// Returns the folder with a higher price of one class.
fn with_higher_price(base: &Manifest) -> Manifest {
    edit(base, "20-classes.toml", &class("a", 2))
}

/// Cuts a zone off from the platform and from the other zones.
fn isolate(world: &mut World, zone: usize) {
    world.faults.cut_from_platform.insert(zone);
    world.faults.isolated.insert(zone);
}

fn heal(world: &mut World) {
    world.faults.cut_from_platform.clear();
    world.faults.isolated.clear();
}

/// Asserts that a version is in force everywhere in time, and that no entry switched to a lower version.
fn assert_in_force_everywhere(world: &mut World, version: u64) {
    let end = world.now + IN_FORCE_TIMEOUT;
    assert!(world.run_until(end, |world| world.in_force_everywhere(version)));
    world.assert_versions_increase();
}

/// Returns the version and the number of zones that were passed over, if the change was accepted.
fn accepted_version(outcome: &Outcome) -> Option<(u64, usize)> {
    match outcome {
        Outcome::Accepted { revision, passed_over } => Some((revision.version.get(), passed_over.len())),
        _ => None,
    }
}

#[test]
fn a_change_is_staged_everywhere_and_in_force_in_time() {
    let (mut world, base) = start_fleet(4, 2, 1);
    world.apply(3, 2, &base, &with_higher_price(&base));
    let outcome = world.outcome(3);
    assert_eq!(accepted_version(&outcome), Some((2, 0)));
    let staged = world.table.partition(record::STAGES).count();
    assert_eq!(staged, 4);
    assert_in_force_everywhere(&mut world, 2);
}

/// Two operators apply changes of different files at the same time, from entries of different zones. Neither change may
/// be lost: the second proposer waits until the head is free and merges its change with the version accepted by then.
#[test]
fn concurrent_changes_of_different_files_are_both_accepted() {
    let (mut world, base) = start_fleet(4, 2, 2);
    world.apply(1, 2, &base, &with_higher_price(&base));
    world.apply(2, 3, &base, &edit(&base, "30-more.toml", &class("b", 3)));
    let outcomes = [world.outcome(1), world.outcome(2)];
    let versions: BTreeSet<_> = outcomes.iter().filter_map(accepted_version).collect();
    assert_eq!(versions, BTreeSet::from([(2, 0), (3, 0)]));
    assert_in_force_everywhere(&mut world, 3);
    let member = world.nodes[0].member.as_ref().unwrap();
    let content = member.content(&member.in_force().unwrap().digest).unwrap();
    let both = edit(&with_higher_price(&base), "30-more.toml", &class("b", 3));
    assert_eq!(*content, both);
}

/// Two operators apply changes of the same file at the same time. One change is accepted; the other operator gets the
/// name of the file, and none of that change comes into force.
#[test]
fn concurrent_changes_of_the_same_file_conflict() {
    let (mut world, base) = start_fleet(4, 2, 3);
    world.apply(1, 2, &base, &with_higher_price(&base));
    world.apply(2, 3, &base, &edit(&base, "20-classes.toml", &class("a", 3)));
    let outcomes = [world.outcome(1), world.outcome(2)];
    let won = outcomes
        .iter()
        .filter(|outcome| accepted_version(outcome) == Some((2, 0)))
        .count();
    let conflict = Outcome::Conflict(vec!["20-classes.toml".into()]);
    let lost = outcomes.iter().filter(|outcome| **outcome == conflict).count();
    assert_eq!((won, lost), (1, 1), "{outcomes:?}");
}

#[test]
fn a_change_that_is_invalid_after_the_merge_is_refused() {
    let (mut world, base) = start_fleet(2, 1, 4);
    let price = "[[price]]\nzone = \"zone-0\"\nclass = \"a\"\nreclaimable = 1\n";
    world.apply(0, 2, &base, &edit(&base, "20-classes.toml", &class("c", 1)));
    assert_eq!(accepted_version(&world.outcome(0)), Some((2, 0)));
    world.apply(1, 3, &base, &edit(&base, "30-price.toml", price));
    let Outcome::Invalid(reason) = world.outcome(1) else {
        panic!("class `a` is gone")
    };
    assert!(
        reason.contains("30-price.toml:3: price.class: there is no class `a`"),
        "{reason}"
    );
}

/// Half of the responses to writes that propose, stage and accept are lost after the write took effect. Each change must
/// still be accepted exactly once: the proposer finds its own identifier in the rows that it reads.
#[test]
fn lost_responses_are_resolved_by_reading() {
    for seed in 0..20 {
        let (mut world, mut base) = start_fleet(3, 2, seed);
        world.faults.lost_answers = 0.5;
        for change in 0..3 {
            let next = edit(&base, "20-classes.toml", &class("a", 2 + change));
            world.apply(change as usize, 10 + u128::from(change), &base, &next);
            let outcome = world.outcome(change as usize);
            assert_eq!(
                accepted_version(&outcome),
                Some((2 + u64::from(change), 0)),
                "seed {seed}"
            );
            base = next;
        }
        assert_eq!(world.table.partition(record::VERSIONS).count(), 4, "seed {seed}");
        world.assert_versions_increase();
    }
}

/// A zone that is cut off from the platform and the other zones before a change must not block its acceptance. The
/// operator gets the name of the zone, and the other zones have the change in force in time. The zone serves its last
/// version until it is reconnected.
#[test]
fn a_zone_cut_off_before_a_proposal_does_not_block_it() {
    let (mut world, base) = start_fleet(4, 2, 5);
    isolate(&mut world, 2);
    let start = world.now;
    world.apply(0, 2, &base, &with_higher_price(&base));
    let outcome = world.outcome(0);
    assert_eq!(accepted_version(&outcome), Some((2, 1)));
    assert!(
        world.now.since(start) < IN_FORCE_TIMEOUT,
        "{:?}",
        world.now.since(start)
    );
    let [(_, row)] = world.table.partition(record::VERSIONS).skip(1).collect::<Vec<_>>()[..] else {
        panic!("two versions")
    };
    assert_eq!(record::decode::<Record>(row).unwrap().passed_over, ["zone-2".into()]);
    world.run(Duration::from_hours(1));
    let versions: Vec<_> = (0..8).map(|node| world.in_force(node)).collect();
    assert_eq!(versions, [2, 2, 1, 2, 2, 2, 1, 2]);
    heal(&mut world);
    assert_in_force_everywhere(&mut world, 2);
}

/// A zone that is cut off after it staged a proposal must not block the acceptance. It holds the content but does not
/// know of the acceptance, so it serves its last version. Once reconnected, it switches without fetching the content.
#[test]
fn a_zone_cut_off_between_staging_and_acceptance_neither_blocks_nor_reverts() {
    let (mut world, base) = start_fleet(4, 2, 6);
    let next = with_higher_price(&base);
    world.apply(0, 2, &base, &next);
    let end = world.now + IN_FORCE_TIMEOUT;
    let staged = |world: &World| {
        let row = world.table.get(&record::stage_key(&"zone-2".into()));
        let stage = row.map(|row| record::decode::<Stage>(&row).unwrap());
        stage.is_some_and(|stage| stage.proposal.revision.digest == next.digest() && stage.progress == Progress::Staged)
    };
    assert!(world.run_until(end, staged));
    isolate(&mut world, 2);
    let outcome = world.outcome(0);
    assert_eq!(accepted_version(&outcome), Some((2, 0)));
    world.run(Duration::from_hours(1));
    assert_eq!((world.in_force(2), world.in_force(6), world.in_force(0)), (1, 1, 2));
    heal(&mut world);
    assert_in_force_everywhere(&mut world, 2);
}

/// A zone reaches the other zones but not the platform, so it cannot stage. It is passed over once its row has not
/// changed for the zone timeout, receives the acceptance from its peers and switches like the others.
#[test]
fn a_zone_cut_off_from_the_platform_alone_follows_its_peers() {
    let (mut world, base) = start_fleet(4, 2, 7);
    world.faults.cut_from_platform.insert(1);
    world.apply(0, 2, &base, &with_higher_price(&base));
    assert_eq!(accepted_version(&world.outcome(0)), Some((2, 1)));
    assert_in_force_everywhere(&mut world, 2);
}

/// All entries of a zone are replaced while the platform is down. The new entries must get the version in force and its
/// content from entries of other zones.
#[test]
fn fresh_entries_learn_from_peers_while_the_platform_is_down() {
    let (mut world, _) = start_fleet(3, 2, 8);
    world.faults.platform_down = true;
    for node in [1, 4] {
        world.start(node);
    }
    assert!(!world.in_force_everywhere(1));
    assert_in_force_everywhere(&mut world, 1);
}

/// The platform holds a newer version than the only peers that a new entry reaches. The entry may begin with either
/// version and must end with the newer one.
#[test]
fn a_fresh_entry_takes_the_highest_of_platform_and_peers() {
    let (mut world, base) = start_fleet(2, 2, 9);
    isolate(&mut world, 1);
    world.apply(0, 2, &base, &with_higher_price(&base));
    assert_eq!(accepted_version(&world.outcome(0)), Some((2, 1)));
    world.faults.cut_from_platform.clear();
    world.start(3);
    let end = world.now + IN_FORCE_TIMEOUT;
    assert!(world.run_until(end, |world| world.in_force(3) == 2));
    world.assert_versions_increase();
}

/// The entries of one zone run a release without the adapter that a change requires. They refuse to stage it, and the
/// operator gets the zone and the reason. The change must not take effect, and the next one is accepted at once.
#[test]
fn a_zone_of_an_older_release_refuses_an_unknown_adapter() {
    let (mut world, base) = start_fleet(3, 2, 12);
    world.adapters = Some(vec!["http"]);
    for node in [2, 5] {
        world.start(node);
    }
    let service = "[[service]]\nname = \"s\"\nkind = \"plain\"\nadapter = \"new\"\npath = \"/s\"\n";
    world.apply(0, 2, &base, &edit(&base, "30-more.toml", service));
    let Outcome::Refused { zone, reason } = world.outcome(0) else {
        panic!("one zone lacks the adapter")
    };
    assert_eq!(zone.as_str(), "zone-2");
    assert!(
        reason.contains("30-more.toml:4: service.adapter: there is no adapter `new`"),
        "{reason}"
    );
    world.apply(0, 3, &base, &with_higher_price(&base));
    assert_eq!(accepted_version(&world.outcome(0)), Some((2, 0)));
    assert_in_force_everywhere(&mut world, 2);
}

/// A proposer dies with its proposal in the head. Another operator's change waits for the takeover timeout, replaces the
/// proposal and is accepted. The content of the dead proposer must never be accepted.
#[test]
fn a_dead_proposer_is_replaced() {
    let (mut world, base) = start_fleet(2, 2, 10);
    isolate(&mut world, 1);
    world.apply(0, 2, &base, &with_higher_price(&base));
    let proposed = |world: &World| {
        let view = record::View::read(world.table.get(&record::head_key()).as_ref()).unwrap();
        view.head.proposed.is_some()
    };
    let end = world.now + IN_FORCE_TIMEOUT;
    assert!(world.run_until(end, proposed));
    world.kill(0);
    heal(&mut world);
    world.apply(1, 3, &base, &edit(&base, "30-more.toml", &class("b", 3)));
    assert_eq!(accepted_version(&world.outcome(1)), Some((2, 0)));
    let content = edit(&base, "30-more.toml", &class("b", 3));
    let row = world.table.get(&record::version_key(record::Version::new(2))).unwrap();
    assert_eq!(
        record::decode::<Record>(&row).unwrap().revision.digest,
        content.digest()
    );
    assert_in_force_everywhere(&mut world, 2);
}

/// The platform goes down permanently during a change. The proposer must finish with an outcome, and the outcome must
/// not be that the change was accepted.
#[test]
fn an_operator_is_not_left_waiting_when_the_platform_goes_down() {
    for delay in [0, 5, 10, 20, 40, 80] {
        let (mut world, base) = start_fleet(2, 2, 11);
        world.apply(0, 2, &base, &with_higher_price(&base));
        world.run(Duration::from_millis(delay));
        world.faults.platform_down = true;
        if world.nodes[0].outcomes.len() > 1 {
            continue;
        }
        let outcome = world.outcome(0);
        assert!(accepted_version(&outcome).is_none(), "after {delay} ms: {outcome:?}");
    }
}

/// Operators apply changes while messages and responses are lost or late, entries restart and zones are cut off. No
/// entry may switch to a lower version, no version may have two contents, every change reported as accepted must be in
/// the history, and all entries must agree once the faults end.
#[test]
fn nothing_reverts_under_random_faults() {
    use rand::RngExt;
    use rand::SeedableRng;

    for seed in 0..30 {
        let (mut world, mut base) = start_fleet(4, 2, 100 + seed);
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut accepted_count = 1;
        for change in 0..12_u32 {
            world.faults.loss = rng.random_range(0.0..0.4);
            world.faults.lost_answers = rng.random_range(0.0..0.3);
            let zone = rng.random_range(0..4);
            world.faults.cut_from_platform = if rng.random_bool(0.3) {
                BTreeSet::from([zone])
            } else {
                BTreeSet::new()
            };
            world.faults.isolated = if rng.random_bool(0.3) {
                BTreeSet::from([zone])
            } else {
                BTreeSet::new()
            };
            let node = rng.random_range(0..8);
            let other = rng.random_range(0..8);
            if other != node {
                world.start(other);
            }
            let next = edit(&base, &format!("{change}.toml"), &class(&format!("c{change}"), 1));
            world.apply(node, 10 + u128::from(change), &base, &next);
            let outcome = world.outcome(node);
            if let Some((version, _)) = accepted_version(&outcome) {
                accepted_count += 1;
                assert_eq!(version, accepted_count, "seed {seed}");
                base = next;
            } else {
                assert!(
                    !matches!(outcome, Outcome::Conflict(_) | Outcome::Invalid(_)),
                    "seed {seed}: {outcome:?}"
                );
                if outcome == Outcome::Unknown {
                    break;
                }
            }
            world.assert_versions_increase();
        }
        world.faults = support::world::Faults::default();
        let history: Vec<_> = world
            .table
            .partition(record::VERSIONS)
            .map(|(_, row)| record::decode::<Record>(row).unwrap())
            .collect();
        assert!(history.len() as u64 >= accepted_count, "seed {seed}");
        let end = world.now + Duration::from_mins(1);
        assert!(
            world.run_until(end, |world| world.in_force_everywhere(history.len() as u64)),
            "seed {seed}"
        );
        for node in &world.nodes {
            for (_, revision) in &node.switches {
                assert_eq!(
                    history[revision.version.get() as usize - 1].revision,
                    *revision,
                    "seed {seed}"
                );
            }
        }
    }
}
