//! Entries that are killed and start again under the same name, while the store is restored from copies.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use bergamotshift_core::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::model::Fleet;
use crate::model::Size;
use crate::model::run;
use crate::network::Trouble;
use crate::store::Copy;
use crate::store::Purpose;

/// Length of a usage window: short, so that several of them are due at any time.
const WINDOW: Duration = Duration::from_secs(1);

/// Time in which a fleet has started and reports windows.
const START: Duration = Duration::from_secs(9);

/// Time after the last trouble within which all windows that may still be reported are.
const CALM: Duration = Duration::from_secs(14);

/// Interval at which each entry counts a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which the holder reports windows of which it has no counts from an entry that is cut off.
const SILENCE: Duration = Duration::from_secs(6);

fn organisation() -> name::Organisation {
    name::Organisation::new("organisation-1")
}

/// Lets each running entry count requests for as long as the fleet is used: each another number, so that sums of different
/// entries differ.
async fn count_requests(fleet: Rc<Fleet>) {
    loop {
        sleep(REQUEST_INTERVAL).await;
        for (number, node) in fleet.nodes.iter().enumerate() {
            let Some(control) = node.control() else { continue };
            (0..=number).for_each(|_| control.shared().tally.count(&organisation()));
        }
    }
}

fn new_fleet(entries: usize) -> Rc<Fleet> {
    let mut fleet = Fleet::new(Size::of(entries));
    fleet.usage_window = WINDOW;
    let fleet = Rc::new(fleet);
    tokio::task::spawn_local(count_requests(Rc::clone(&fleet)));
    fleet
}

/// Returns the windows that were reported with two different counts.
fn contradicted(fleet: &Fleet) -> BTreeSet<u64> {
    let mut first = BTreeMap::new();
    let reports = fleet.store.reports();
    let contradicted = reports.iter().filter(|(_, usage)| {
        let before = first.entry(usage.window).or_insert_with(|| usage.counts.clone());
        *before != usage.counts
    });
    contradicted.map(|(_, usage)| usage.window).collect()
}

/// Returns the windows between the first and the last reported one that were not reported.
fn missing(fleet: &Fleet) -> Vec<u64> {
    let windows: BTreeSet<u64> = fleet.store.reports().iter().map(|(_, usage)| usage.window).collect();
    let (Some(first), Some(last)) = (windows.first(), windows.last()) else {
        return Vec::new();
    };
    (*first..=*last).filter(|window| !windows.contains(window)).collect()
}

/// Waits until the holder sends another report, of which no other entry has heard yet.
async fn wait_for_report(fleet: &Fleet) {
    const LIMIT: Duration = Duration::from_secs(10);
    let before = fleet.store.reports().len();
    let began = Instant::now();
    while fleet.store.reports().len() == before && began.elapsed() < LIMIT {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against a window that is reported with two counts: its holder is killed right after a report and starts again, and
/// what its new process says of itself is taken for the word of the process that reported.
#[test]
fn a_holder_that_starts_again_does_not_vouch_for_the_reports_of_its_former_process() {
    for entries in [4, 20, 66] {
        for down in [100, 700, 2_200, 4_000, 6_000].map(Duration::from_millis) {
            run(async move {
                let fleet = new_fleet(entries);
                fleet.start().await;
                sleep(START).await;
                let holder = fleet.holder().expect("one holds the duties");
                let silent = fleet.nodes.iter().find(|node| node.name != holder.name);
                let silent = silent.expect("there are several entries").address();
                // The holder's report lacks the counts of an entry from which the next holder has them.
                fleet.switch.set_cut(silent, true);
                sleep(SILENCE).await;
                let copy = fleet.store.copy();
                wait_for_report(&fleet).await;
                fleet.kill(holder);
                fleet.switch.set_cut(silent, false);
                sleep(down).await;
                fleet.start_node(holder);
                fleet.store.restore(copy);
                fleet.write_all();
                sleep(CALM).await;
                assert_eq!(
                    contradicted(&fleet),
                    BTreeSet::new(),
                    "{entries} entries, down for {down:?}"
                );
            });
        }
    }
}

/// Guards against a window that is reported with two counts: the store is restored while the next holder stores its counts,
/// before any answer tells it of the restore.
#[test]
fn a_restore_during_the_write_of_counts_lets_no_window_be_reported_with_other_counts() {
    for entries in [4, 20, 66] {
        run(async move {
            let fleet = new_fleet(entries);
            fleet.start().await;
            sleep(START).await;
            let holder = fleet.holder().expect("one holds the duties");
            let silent = fleet.nodes.iter().find(|node| node.name != holder.name);
            let silent = silent.expect("there are several entries").address();
            fleet.switch.set_cut(silent, true);
            sleep(SILENCE).await;
            let copy = fleet.store.copy();
            wait_for_report(&fleet).await;
            fleet.kill(holder);
            fleet.switch.set_cut(silent, false);
            let killed = Instant::now();
            let writes_counts = || {
                let calls = fleet.store.calls_since(killed);
                calls.iter().any(|call| call.purpose == Purpose::Usage)
            };
            while !writes_counts() {
                assert!(killed.elapsed() < CALM, "no entry takes over");
                sleep(Duration::from_millis(1)).await;
            }
            fleet.store.restore(copy);
            fleet.write_all();
            sleep(CALM).await;
            assert_eq!(contradicted(&fleet), BTreeSet::new(), "{entries} entries");
        });
    }
}

/// Guards against windows that nobody reports although their holder gave up the duties in order.
#[test]
fn all_windows_are_reported_if_the_holder_stops_in_order_and_starts_again() {
    for entries in [4, 20, 66] {
        run(async move {
            let fleet = new_fleet(entries);
            fleet.start().await;
            sleep(START).await;
            let holder = fleet.holder().expect("one holds the duties");
            holder.stop();
            sleep(Duration::from_secs(2)).await;
            fleet.kill(holder);
            fleet.start_node(holder);
            sleep(CALM).await;
            assert_eq!(contradicted(&fleet), BTreeSet::new(), "{entries} entries");
            assert_eq!(missing(&fleet), Vec::<u64>::new(), "{entries} entries");
        });
    }
}

/// Random trouble of a fleet.
struct Player {
    fleet: Rc<Fleet>,
    generator: Pcg64Mcg,
    copy: Option<Copy>,
}

impl Player {
    fn new(entries: usize, seed: u64) -> Self {
        let mut generator = Pcg64Mcg::seed_from_u64(seed);
        let fleet = new_fleet(entries);
        let trouble = Trouble {
            loss_percent: generator.next_u32() % 85,
            max_delay: Duration::from_millis(u64::from(generator.next_u32() % 250)),
            generator: Pcg64Mcg::seed_from_u64(generator.next_u64()),
        };
        fleet.switch.set_trouble(Some(trouble));
        Self {
            fleet,
            generator,
            copy: None,
        }
    }

    fn below(&mut self, limit: u32) -> u32 {
        self.generator.next_u32() % limit
    }

    /// Draws a step; entries that are down start again after 0.1 to 6 s.
    async fn step(&mut self) {
        let fleet = Rc::clone(&self.fleet);
        match self.below(14) {
            0..2 => self.copy = Some(fleet.store.copy()),
            2..4 => self.restore().await,
            4 => self.take_down(true),
            5 => self.take_down(false),
            6 => self.stop().await,
            7 => self.cut(),
            8..10 => self.lose_report().await,
            _ => sleep(Duration::from_millis(u64::from(self.below(1_200)))).await,
        }
    }

    /// Kills the holder right after a report that lacks the counts of some entry, and of which a restored store knows
    /// nothing.
    async fn lose_report(&mut self) {
        let fleet = Rc::clone(&self.fleet);
        if fleet.holder().is_none() {
            return;
        }
        self.cut();
        sleep(SILENCE).await;
        self.copy = Some(fleet.store.copy());
        wait_for_report(&fleet).await;
        self.take_down(true);
        let delay = self.below(2_500);
        sleep(Duration::from_millis(u64::from(delay))).await;
        self.restore().await;
    }

    /// Cuts an entry off from all others for some seconds, so that sums lack its counts.
    fn cut(&mut self) {
        let number = self.below(self.fleet.nodes.len() as u32) as usize;
        let address = self.fleet.nodes[number].address();
        self.fleet.switch.set_cut(address, true);
        let duration = Duration::from_millis(u64::from(1_000 + self.below(9_000)));
        let fleet = Rc::clone(&self.fleet);
        tokio::task::spawn_local(async move {
            sleep(duration).await;
            fleet.switch.set_cut(address, false);
        });
    }

    async fn restore(&mut self) {
        let Some(copy) = self.copy.take() else { return };
        self.fleet.store.restore(copy);
        let delay = self.below(500);
        sleep(Duration::from_millis(u64::from(delay))).await;
        self.fleet.write_all();
    }

    /// Kills the holder of the duties, or any entry, which starts again later.
    fn take_down(&mut self, is_holder: bool) {
        let number = self.below(self.fleet.nodes.len() as u32) as usize;
        let holder = self.fleet.nodes.iter().position(|node| {
            node.control()
                .is_some_and(|control| control.shared().metrics.duty_holder.get() == 1)
        });
        let number = holder.filter(|_| is_holder).unwrap_or(number);
        if self.fleet.nodes[number].control().is_none() {
            return;
        }
        self.fleet.kill(&self.fleet.nodes[number]);
        let down = Duration::from_millis(u64::from(100 + self.below(5_900)));
        let fleet = Rc::clone(&self.fleet);
        tokio::task::spawn_local(async move {
            sleep(down).await;
            fleet.start_node(&fleet.nodes[number]);
        });
    }

    /// Lets the holder stop in order; it is killed a moment later and starts again.
    async fn stop(&mut self) {
        let Some(holder) = self.fleet.holder() else { return };
        holder.stop();
        let delay = self.below(800);
        sleep(Duration::from_millis(u64::from(delay))).await;
        let holder = self
            .fleet
            .nodes
            .iter()
            .position(|node| node.control().is_some_and(|control| control.shared().is_stopping()));
        if let Some(number) = holder {
            self.fleet.kill(&self.fleet.nodes[number]);
            self.fleet.start_node(&self.fleet.nodes[number]);
        }
    }
}

async fn play(entries: usize, seed: u64) {
    const STEPS: u32 = 24;
    let mut player = Player::new(entries, seed);
    player.fleet.start().await;
    sleep(START).await;
    for _ in 0..STEPS {
        player.step().await;
    }
    player.fleet.switch.set_trouble(None);
    sleep(CALM).await;
    assert_eq!(
        contradicted(&player.fleet),
        BTreeSet::new(),
        "{entries} entries, seed {seed}"
    );
}

/// Guards against a window that is reported with two counts, whatever happens to processes, messages and the store.
#[test]
fn no_window_is_reported_with_two_counts_when_entries_start_again_and_the_store_is_restored() {
    for seed in 0..60 {
        run(play(4, seed));
    }
    for seed in 0..6 {
        run(play(20, seed));
    }
    run(play(66, 0));
}
