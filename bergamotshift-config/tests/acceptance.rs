//! The acceptance protocol over a faulty fleet, in virtual time.

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

/// How soon a change is in force everywhere, at most.
const IN_FORCE: Duration = Duration::from_secs(7);

fn first(zones: usize) -> Manifest {
    let zones: Vec<_> = (0..zones).map(World::zone).collect();
    let zones: Vec<_> = zones.iter().map(String::as_str).collect();
    folder(&zones, "20-classes.toml", &class("a", 1))
}

/// Starts a fleet with a first version in force everywhere.
fn running(zones: usize, each: usize, seed: u64) -> (World, Manifest) {
    let mut world = World::new(zones, each, seed);
    let base = first(zones);
    world.run(Duration::from_secs(5));
    world.apply(0, 1, &Manifest::default(), &base);
    assert_eq!(accepted(&world.outcome(0)), Some((1, 0)));
    assert_follows(&mut world, 1);
    (world, base)
}

/// Returns the folder with one price changed.
fn dearer(base: &Manifest) -> Manifest {
    edit(base, "20-classes.toml", &class("a", 2))
}

/// Cuts a zone off from the platform and the other zones.
fn cut(world: &mut World, zone: usize) {
    world.faults.off_platform.insert(zone);
    world.faults.isolated.insert(zone);
}

fn heal(world: &mut World) {
    world.faults.off_platform.clear();
    world.faults.isolated.clear();
}

/// Asserts that the version is in force everywhere in time, and that no entry ever went back.
fn assert_follows(world: &mut World, version: u64) {
    let end = world.now + IN_FORCE;
    assert!(world.run_until(end, |world| world.everywhere(version)));
    world.assert_only_upwards();
}

/// Returns the version and how many zones were passed over.
fn accepted(outcome: &Outcome) -> Option<(u64, usize)> {
    match outcome {
        Outcome::Accepted { revision, passed_over } => Some((revision.version.get(), passed_over.len())),
        _ => None,
    }
}

#[test]
fn a_change_is_staged_everywhere_and_in_force_in_time() {
    let (mut world, base) = running(4, 2, 1);
    world.apply(3, 2, &base, &dearer(&base));
    let outcome = world.outcome(3);
    assert_eq!(accepted(&outcome), Some((2, 0)));
    let staged = world.table.partition(record::STAGES).count();
    assert_eq!(staged, 4);
    assert_follows(&mut world, 2);
}

/// Two operators apply at the same moment, from entries of different zones, and changed different files. Both are told
/// "accepted". One takes the head's place; the other waits, merges with what is accepted by then and follows.
#[test]
fn two_operators_at_once_with_different_files_both_get_in() {
    let (mut world, base) = running(4, 2, 2);
    world.apply(1, 2, &base, &dearer(&base));
    world.apply(2, 3, &base, &edit(&base, "30-more.toml", &class("b", 3)));
    let outcomes = [world.outcome(1), world.outcome(2)];
    let versions: BTreeSet<_> = outcomes.iter().filter_map(accepted).collect();
    assert_eq!(versions, BTreeSet::from([(2, 0), (3, 0)]));
    assert_follows(&mut world, 3);
    let member = world.nodes[0].member.as_ref().unwrap();
    let content = member.content(&member.in_force().unwrap().digest).unwrap();
    let both = edit(&dearer(&base), "30-more.toml", &class("b", 3));
    assert_eq!(*content, both);
}

/// Two operators apply at the same moment and changed the same file. One is told "accepted", the other the file's
/// name; nothing of the other's change is in force anywhere.
#[test]
fn two_operators_at_once_with_the_same_file_conflict() {
    let (mut world, base) = running(4, 2, 3);
    world.apply(1, 2, &base, &dearer(&base));
    world.apply(2, 3, &base, &edit(&base, "20-classes.toml", &class("a", 3)));
    let outcomes = [world.outcome(1), world.outcome(2)];
    let won = outcomes
        .iter()
        .filter(|outcome| accepted(outcome) == Some((2, 0)))
        .count();
    let conflict = Outcome::Conflict(vec!["20-classes.toml".into()]);
    let lost = outcomes.iter().filter(|outcome| **outcome == conflict).count();
    assert_eq!((won, lost), (1, 1), "{outcomes:?}");
}

#[test]
fn a_change_that_is_no_configuration_together_with_others_is_refused() {
    let (mut world, base) = running(2, 1, 4);
    let price = "[[price]]\nzone = \"zone-0\"\nclass = \"a\"\nreclaimable = 1\n";
    world.apply(0, 2, &base, &edit(&base, "20-classes.toml", &class("c", 1)));
    assert_eq!(accepted(&world.outcome(0)), Some((2, 0)));
    world.apply(1, 3, &base, &edit(&base, "30-price.toml", price));
    let Outcome::Invalid(reason) = world.outcome(1) else {
        panic!("class `a` is gone")
    };
    assert!(
        reason.contains("30-price.toml:3: price.class: there is no class `a`"),
        "{reason}"
    );
}

/// Half of the answers to writes are lost after they took effect: to the proposing, staging and accepting ones alike.
/// The operator sees each change accepted once; the proposer finds its own id in the rows it reads back.
#[test]
fn lost_answers_are_settled_by_reading_back() {
    for seed in 0..20 {
        let (mut world, mut base) = running(3, 2, seed);
        world.faults.lost_answers = 0.5;
        for change in 0..3 {
            let next = edit(&base, "20-classes.toml", &class("a", 2 + change));
            world.apply(change as usize, 10 + u128::from(change), &base, &next);
            let outcome = world.outcome(change as usize);
            assert_eq!(accepted(&outcome), Some((2 + u64::from(change), 0)), "seed {seed}");
            base = next;
        }
        assert_eq!(world.table.partition(record::VERSIONS).count(), 4, "seed {seed}");
        world.assert_only_upwards();
    }
}

/// A zone is cut off from the platform and the other zones before a change. The operator gets "accepted" with that
/// zone named; the other zones have it in force in time. The zone serves its last version, and after healing moves up.
#[test]
fn a_zone_cut_off_before_a_proposal_holds_nobody_up() {
    let (mut world, base) = running(4, 2, 5);
    cut(&mut world, 2);
    let start = world.now;
    world.apply(0, 2, &base, &dearer(&base));
    let outcome = world.outcome(0);
    assert_eq!(accepted(&outcome), Some((2, 1)));
    assert!(world.now.since(start) < IN_FORCE, "{:?}", world.now.since(start));
    let [(_, row)] = world.table.partition(record::VERSIONS).skip(1).collect::<Vec<_>>()[..] else {
        panic!("two versions")
    };
    assert_eq!(record::decode::<Record>(row).unwrap().passed_over, ["zone-2".into()]);
    world.run(Duration::from_hours(1));
    let versions: Vec<_> = (0..8).map(|node| world.in_force(node)).collect();
    assert_eq!(versions, [2, 2, 1, 2, 2, 2, 1, 2]);
    heal(&mut world);
    assert_follows(&mut world, 2);
}

/// A zone is cut off after it staged a proposal and before the acceptance. Acceptance does not wait for it. The zone
/// holds the content, does not know of the acceptance, and serves its last version; healed, it switches without
/// fetching anything.
#[test]
fn a_zone_cut_off_between_staging_and_acceptance_neither_blocks_nor_reverts() {
    let (mut world, base) = running(4, 2, 6);
    let next = dearer(&base);
    world.apply(0, 2, &base, &next);
    let end = world.now + IN_FORCE;
    let staged = |world: &World| {
        let row = world.table.get(&record::stage_key(&"zone-2".into()));
        let stage = row.map(|row| record::decode::<Stage>(&row).unwrap());
        stage.is_some_and(|stage| stage.proposal.revision.digest == next.digest() && stage.progress == Progress::Staged)
    };
    assert!(world.run_until(end, staged));
    cut(&mut world, 2);
    let outcome = world.outcome(0);
    assert_eq!(accepted(&outcome), Some((2, 0)));
    world.run(Duration::from_hours(1));
    assert_eq!((world.in_force(2), world.in_force(6), world.in_force(0)), (1, 1, 2));
    heal(&mut world);
    assert_follows(&mut world, 2);
}

/// A zone reaches the other zones and not the platform. It can't stage, so acceptance passes it over after its row
/// has lapsed; it hears of the acceptance from its peers and switches as the others do.
#[test]
fn a_zone_cut_off_from_the_platform_alone_follows_its_peers() {
    let (mut world, base) = running(4, 2, 7);
    world.faults.off_platform.insert(1);
    world.apply(0, 2, &base, &dearer(&base));
    assert_eq!(accepted(&world.outcome(0)), Some((2, 1)));
    assert_follows(&mut world, 2);
}

/// The platform is down and every entry of a zone is replaced. The fresh entries know nothing and learn the version
/// in force, content and all, from entries of other zones.
#[test]
fn fresh_entries_learn_from_peers_while_the_platform_is_down() {
    let (mut world, _) = running(3, 2, 8);
    world.faults.platform_down = true;
    for node in [1, 4] {
        world.start(node);
    }
    assert!(!world.everywhere(1));
    assert_follows(&mut world, 1);
}

/// The platform holds a newer version than the only peers a fresh entry reaches, which are cut off from it. The entry
/// may begin with either, and ends with the newer one.
#[test]
fn a_fresh_entry_takes_the_highest_of_platform_and_peers() {
    let (mut world, base) = running(2, 2, 9);
    cut(&mut world, 1);
    world.apply(0, 2, &base, &dearer(&base));
    assert_eq!(accepted(&world.outcome(0)), Some((2, 1)));
    world.faults.off_platform.clear();
    world.start(3);
    let end = world.now + IN_FORCE;
    assert!(world.run_until(end, |world| world.in_force(3) == 2));
    world.assert_only_upwards();
}

/// The entries of one zone run a release without the adapter that a change names. They refuse to stage it, and the
/// operator is told which zone and why; nothing changes anywhere, and the next change goes through at once.
#[test]
fn a_zone_of_an_older_release_refuses_what_it_cannot_use() {
    let (mut world, base) = running(3, 2, 12);
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
    world.apply(0, 3, &base, &dearer(&base));
    assert_eq!(accepted(&world.outcome(0)), Some((2, 0)));
    assert_follows(&mut world, 2);
}

/// The entry that carries a change dies with its proposal in the head. Another operator's change waits until that
/// proposal has stood still for the stated time, replaces it and is accepted. The dead one's content never is.
#[test]
fn a_dead_proposer_is_replaced() {
    let (mut world, base) = running(2, 2, 10);
    cut(&mut world, 1);
    world.apply(0, 2, &base, &dearer(&base));
    let proposed = |world: &World| {
        let view = record::View::read(world.table.get(&record::head_key()).as_ref()).unwrap();
        view.head.proposed.is_some()
    };
    let end = world.now + IN_FORCE;
    assert!(world.run_until(end, proposed));
    world.kill(0);
    heal(&mut world);
    world.apply(1, 3, &base, &edit(&base, "30-more.toml", &class("b", 3)));
    assert_eq!(accepted(&world.outcome(1)), Some((2, 0)));
    let content = edit(&base, "30-more.toml", &class("b", 3));
    let row = world.table.get(&record::version_key(record::Version::new(2))).unwrap();
    assert_eq!(
        record::decode::<Record>(&row).unwrap().revision.digest,
        content.digest()
    );
    assert_follows(&mut world, 2);
}

/// The platform goes down for good in the middle of a change. The operator is told either that nothing was proposed,
/// or that the history has to be asked; never "accepted".
#[test]
fn an_operator_is_not_left_waiting_when_the_platform_goes_down() {
    for delay in [0, 5, 10, 20, 40, 80] {
        let (mut world, base) = running(2, 2, 11);
        world.apply(0, 2, &base, &dearer(&base));
        world.run(Duration::from_millis(delay));
        world.faults.platform_down = true;
        if world.nodes[0].outcomes.len() > 1 {
            continue;
        }
        let outcome = world.outcome(0);
        assert!(accepted(&outcome).is_none(), "after {delay} ms: {outcome:?}");
    }
}

/// Messages between entries are lost, late and cut, answers of the platform are lost, entries die and come back, zones
/// are cut off and heal, while operators apply changes. No entry ever goes back, no version has two contents, every
/// change that was called accepted is in the history, and after healing all entries agree.
#[test]
fn nothing_reverts_under_random_faults() {
    use rand::RngExt;
    use rand::SeedableRng;

    for seed in 0..30 {
        let (mut world, mut base) = running(4, 2, 100 + seed);
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut told = 1;
        for change in 0..12_u32 {
            world.faults.loss = rng.random_range(0.0..0.4);
            world.faults.lost_answers = rng.random_range(0.0..0.3);
            let zone = rng.random_range(0..4);
            world.faults.off_platform = if rng.random_bool(0.3) {
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
            if let Some((version, _)) = accepted(&outcome) {
                told += 1;
                assert_eq!(version, told, "seed {seed}");
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
            world.assert_only_upwards();
        }
        world.faults = support::world::Faults::default();
        let history: Vec<_> = world
            .table
            .partition(record::VERSIONS)
            .map(|(_, row)| record::decode::<Record>(row).unwrap())
            .collect();
        assert!(history.len() as u64 >= told, "seed {seed}");
        let end = world.now + Duration::from_mins(1);
        assert!(
            world.run_until(end, |world| world.everywhere(history.len() as u64)),
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
