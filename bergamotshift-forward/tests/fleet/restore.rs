//! Fleets whose store comes back from a copy, at any time and beside other trouble.

use core::cell::Cell;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use bergamotshift_forward::endpoint::Endpoint;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::time::sleep;

use crate::model::Fleet;
use crate::model::Node;
use crate::model::Size;
use crate::model::document;
use crate::model::registration;
use crate::model::run;

const ENTRIES: usize = 4;

const ENDPOINTS: usize = 6;

/// Time after which all entries know what the store holds, once all trouble is over: a lease, the time in which
/// registrations are renewed, and some rounds.
const CALM: Duration = Duration::from_secs(8);

/// Something that happens to a fleet.
#[derive(Clone, Debug)]
enum Step {
    /// Nothing happens for some milliseconds.
    Wait(u64),
    /// The store's rows are copied.
    Copy,
    /// The store is restored from the last copy; operators and endpoints write theirs again after some milliseconds.
    Restore(u64),
    /// An endpoint announces that it leaves.
    Leave(usize),
    /// An endpoint's registration is removed.
    Remove(usize),
    /// The operators write a newer document.
    Document,
    /// The store refuses an entry's calls, or accepts them again.
    Cut(usize, bool),
    /// An entry's process is killed.
    Kill(usize),
    /// An entry's process is started, if it does not run.
    Start(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        const KINDS: [u8; 16] = [0, 0, 0, 0, 1, 1, 2, 2, 3, 4, 5, 6, 7, 8, 9, 9];
        let entry = usize::arbitrary(g) % ENTRIES;
        let endpoint = usize::arbitrary(g) % ENDPOINTS;
        match *g.choose(&KINDS).expect("there are some") {
            1 => Self::Copy,
            2 => Self::Restore(50 + u64::arbitrary(g) % 1_150),
            3 => Self::Leave(endpoint),
            4 => Self::Remove(endpoint),
            5 => Self::Document,
            6 => Self::Cut(entry, true),
            7 => Self::Cut(entry, false),
            8 => Self::Kill(entry),
            9 => Self::Start(entry),
            _ => Self::Wait(u64::arbitrary(g) % 1_500),
        }
    }
}

/// What must hold of a fleet while steps are played.
struct Checker {
    fleet: Fleet,
    version: u64,
    left: BTreeSet<usize>,
    removed: BTreeSet<usize>,
    /// Endpoints that each running entry knows to leave, and the document that it has in force.
    known: BTreeMap<usize, (BTreeSet<usize>, u64)>,
}

impl Checker {
    fn new() -> Self {
        let fleet = Fleet::new(Size {
            entries: ENTRIES,
            endpoints: ENDPOINTS,
            organisations: 2,
        });
        Self {
            fleet,
            version: 1,
            left: BTreeSet::new(),
            removed: BTreeSet::new(),
            known: BTreeMap::new(),
        }
    }

    fn hash(endpoint: usize) -> u64 {
        Endpoint::new(registration(endpoint)).hash
    }

    /// Checks that no entry uses an endpoint again that it knew to leave, or goes back to an older document.
    fn check(&mut self) {
        for (number, node) in self.fleet.nodes.iter().enumerate() {
            let Some(control) = node.control() else {
                self.known.remove(&number);
                continue;
            };
            let (leaving, version) = self.known.entry(number).or_default();
            let view = control.shared().view.load();
            let is_used = |endpoint: &usize| {
                let endpoint = view.endpoint(Self::hash(*endpoint));
                endpoint.is_some_and(|endpoint| !endpoint.is_leaving())
            };
            let returned: Vec<_> = leaving.iter().filter(|endpoint| is_used(endpoint)).collect();
            assert!(returned.is_empty(), "{} uses {returned:?} again", node.name);
            assert!(
                control.document().version >= *version,
                "{} has an older document",
                node.name
            );
            let knows_endpoints = view.knows_endpoints;
            leaving.extend(
                self.left
                    .iter()
                    .filter(|endpoint| knows_endpoints && !is_used(endpoint)),
            );
            *version = control.document().version;
        }
    }

    async fn play(&mut self, step: &Step, copy: &mut Option<crate::store::Copy>) {
        let fleet = &self.fleet;
        match *step {
            Step::Wait(millis) => sleep(Duration::from_millis(millis)).await,
            Step::Copy => *copy = Some(fleet.store.copy()),
            Step::Restore(millis) => {
                if let Some(copy) = copy.take() {
                    fleet.store.restore(copy);
                    sleep(Duration::from_millis(millis)).await;
                    fleet.write_all();
                    fleet.store.put_document(document(self.version, fleet.size));
                }
            }
            Step::Leave(endpoint) if !self.removed.contains(&endpoint) => {
                let mut leaving = registration(endpoint);
                leaving.leaving = true;
                fleet.write(leaving);
                self.left.insert(endpoint);
            }
            // One endpoint stays, so that entries can tell an empty store from one that they have not read.
            Step::Remove(endpoint) if endpoint > 0 => {
                fleet.remove(&registration(endpoint).id);
                self.removed.insert(endpoint);
            }
            Step::Leave(_) | Step::Remove(_) => {}
            Step::Document => {
                self.version += 1;
                fleet.store.put_document(document(self.version, fleet.size));
            }
            Step::Cut(entry, is_cut) => fleet.store.set_cut(&fleet.nodes[entry].name, is_cut),
            Step::Kill(entry) => fleet.kill(&fleet.nodes[entry]),
            Step::Start(entry) => self.start(entry),
        }
    }

    fn start(&self, entry: usize) {
        let node = &self.fleet.nodes[entry];
        if node.control().is_none() {
            self.fleet.start_node(node);
        }
    }

    /// Ends all trouble, and checks that all entries come to know what is so.
    async fn settle(&mut self) {
        for entry in 0..ENTRIES {
            self.fleet.store.set_cut(&self.fleet.nodes[entry].name, false);
            self.start(entry);
        }
        self.fleet.write_all();
        self.fleet.lapse();
        self.fleet.store.put_document(document(self.version, self.fleet.size));
        sleep(CALM).await;
        self.check();
        for node in &self.fleet.nodes {
            assert_eq!(node.document(), self.version, "{}", node.name);
            for endpoint in 0..ENDPOINTS {
                let is_gone = self.left.contains(&endpoint) || self.removed.contains(&endpoint);
                let has_left = node.has_left(Self::hash(endpoint));
                assert_eq!(has_left, is_gone, "endpoint {endpoint} at {}", node.name);
            }
        }
    }

    /// Checks that each fencing number was one holder's, that they rose, and that no window was reported with two counts.
    fn check_duties(&self) {
        let mut holders = BTreeMap::new();
        let mut windows = BTreeMap::new();
        let mut highest = 0;
        for (token, usage) in self.fleet.store.reports() {
            let holder = holders.entry(token.number).or_insert_with(|| token.entry.clone());
            assert_eq!(*holder, token.entry, "fencing number {}", token.number);
            assert!(token.number >= highest, "{} after {highest}", token.number);
            highest = token.number;
            let counts = windows.entry(usage.window).or_insert_with(|| usage.counts.clone());
            assert_eq!(*counts, usage.counts, "window {}", usage.window);
        }
    }
}

/// Plays steps on a fleet that has just started.
fn play(steps: Vec<Step>) {
    run(async move {
        let mut checker = Checker::new();
        checker.fleet.start().await;
        let mut copy = None;
        for step in &steps {
            checker.play(step, &mut copy).await;
            checker.check();
        }
        checker.settle().await;
        checker.check_duties();
    });
}

/// Guards against what entries believe being undone by a store that came back from a copy, whatever else happens.
#[test]
fn no_sequence_of_restores_and_other_trouble_undoes_what_is_known() {
    fn holds(steps: Vec<Step>) -> bool {
        play(steps);
        true
    }
    QuickCheck::new().tests(40).quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Guards against an entry that cannot reach the store during a restore, and takes the positions of the later era for older
/// ones.
#[test]
fn an_entry_that_is_cut_off_during_a_restore_learns_of_it_from_others() {
    play(vec![
        Step::Wait(1_000),
        Step::Cut(3, true),
        Step::Copy,
        Step::Document,
        Step::Wait(1_000),
        Step::Restore(400),
        Step::Leave(2),
        Step::Wait(1_400),
    ]);
}

/// Guards against an entry that was down while an endpoint left and was removed, and uses it once a restored copy lists it as
/// ready, because the entries that knew did not tell it.
#[test]
fn an_entry_that_starts_after_a_removal_learns_of_it_before_a_restore_undoes_it() {
    play(vec![
        Step::Kill(0),
        Step::Copy,
        Step::Leave(2),
        Step::Remove(2),
        Step::Start(0),
        Step::Wait(1_126),
        Step::Restore(248),
        Step::Wait(1_004),
    ]);
}

/// Guards against an entry that starts after a restore and uses an endpoint that left and was removed before, as the copy lists it
/// as ready.
#[test]
fn an_entry_that_starts_after_a_restore_learns_of_the_removals_that_it_undid() {
    run(async {
        let mut checker = Checker::new();
        checker.fleet.start().await;
        sleep(CALM).await;
        let mut copy = None;
        for step in [
            Step::Kill(0),
            Step::Copy,
            Step::Leave(2),
            Step::Remove(2),
            Step::Wait(1_000),
            Step::Restore(400),
            Step::Start(0),
            Step::Wait(2_000),
        ] {
            checker.play(&step, &mut copy).await;
            checker.check();
        }
        let node = &checker.fleet.nodes[0];
        assert!(node.can_serve() && node.has_left(Checker::hash(2)));
    });
}

/// Guards against a second restore that is taken for the first one.
#[test]
fn a_second_restore_soon_after_the_first_is_followed() {
    play(vec![
        Step::Wait(1_000),
        Step::Copy,
        Step::Leave(1),
        Step::Wait(600),
        Step::Restore(50),
        Step::Copy,
        Step::Leave(2),
        Step::Wait(300),
        Step::Restore(50),
        Step::Leave(3),
        Step::Wait(1_400),
    ]);
}

/// Guards against entries that start while the store is restored, or while the duties are taken over, and follow a copy.
#[test]
fn a_restore_while_entries_start_and_the_holder_is_gone_is_followed() {
    let holder = Rc::new(Cell::new(0));
    let found = Rc::clone(&holder);
    run(async move {
        let checker = Checker::new();
        checker.fleet.start().await;
        sleep(CALM).await;
        let holds = |control: bergamotshift_forward::control::Control| control.shared().metrics.duty_holder.get() == 1;
        let mut nodes = checker.fleet.nodes.iter();
        found.set(
            nodes
                .position(|node| node.control().is_some_and(holds))
                .expect("one holds the duties"),
        );
    });
    let holder = holder.get();
    play(vec![
        Step::Wait(8_000),
        Step::Copy,
        Step::Leave(1),
        Step::Wait(500),
        Step::Kill(holder),
        Step::Kill((holder + 1) % ENTRIES),
        Step::Wait(200),
        Step::Start((holder + 1) % ENTRIES),
        Step::Restore(300),
        Step::Start(holder),
        Step::Wait(4_000),
    ]);
}

/// Guards against entries that do not find each other, and use the whole of a limit in each of two groups, because the rows of
/// a restored store name the addresses of former processes.
#[test]
fn entries_find_each_other_although_a_restored_list_names_former_addresses() {
    /// Time within which all entries have to know each other: that in which they read the store again.
    const FOUND_WITHIN: Duration = Duration::from_secs(4);
    run(async {
        let fleet = Checker::new().fleet;
        fleet.start().await;
        sleep(CALM).await;
        let copy = fleet.store.copy();
        let start_again = |node: &Node| {
            fleet.kill(node);
            node.move_away();
            fleet.start_node(node);
        };
        fleet.nodes.iter().for_each(start_again);
        sleep(Duration::from_secs(2)).await;
        fleet.store.restore(copy);
        fleet.write_all();
        fleet.nodes[..ENTRIES / 2].iter().for_each(start_again);
        let knows_all = |node: &Node| {
            let control = node.control();
            control.is_some_and(|control| control.shared().metrics.peers.get() == ENTRIES as i64 - 1)
        };
        fleet.wait_for_all("the other entries", FOUND_WITHIN, knows_all).await;
    });
}
