//! Control leases: orders that a holder may send, and the load on the table after an outage of an hour, in virtual
//! time.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_claim::driver::Unreachable;
use bergamotshift_claim::lease;
use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::name;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use lease::Action;
use lease::Event;
use lease::Keeper;
use lease::Settings;
use quickcheck::quickcheck;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

fn keeper(incarnation: u128) -> Keeper {
    let duty = SmolStr::new_static("capacity/planner-llm/rotterdam-hall");
    Keeper::new(
        Settings::default(),
        duty,
        "entry-1".into(),
        attempt::Id::new(incarnation),
    )
}

fn row(number: u64, released: bool) -> Row {
    let record = lease::Record {
        holder: "entry-2".into(),
        incarnation: attempt::Id::new(9),
        number,
        length: 15_000,
        released,
    };
    let body = record.encode();
    Row { version: 7, body }
}

fn handle(keeper: &mut Keeper, seconds: u64, event: Event) -> Vec<Action> {
    keeper.on(Instant::from_secs(seconds), event, &mut Pcg64Mcg::new(1))
}

fn starts_duty(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Begin { .. }))
}

// The holder's VM was reclaimed, and this entry takes the duty after the row stayed unchanged for the lease's length.
// An endpoint that ignores fencing numbers could execute a late order of the former holder after one of the successor,
// so it gets no order until such an order must have arrived. An endpoint that checks them gets orders at once.
#[test]
fn a_successor_waits_for_endpoints_that_ignore_numbers() {
    let mut keeper = keeper(1);
    for seconds in [0, 5, 10, 14] {
        handle(&mut keeper, seconds, Event::Woke);
        let actions = handle(&mut keeper, seconds, Event::Rows(Ok(Some(row(3, false)))));
        assert!(matches!(actions.as_slice(), [Action::Wake(_)]), "{actions:?}");
    }
    handle(&mut keeper, 15, Event::Woke);
    let actions = handle(&mut keeper, 15, Event::Rows(Ok(Some(row(3, false)))));
    assert!(matches!(actions.as_slice(), [Action::Write(_)]), "{actions:?}");
    let actions = handle(&mut keeper, 15, Event::Written(Ending::Applied));
    assert_eq!(actions[0], Action::Begin { number: 4 });
    let at = Instant::from_secs;
    assert_eq!(keeper.permit(at(15), true), Some(4));
    assert_eq!(keeper.permit(at(24), false), None);
    assert_eq!(keeper.permit(at(25), false), Some(4));
    assert_eq!(keeper.permit(at(29), true), None, "too near the lease's end");
}

#[test]
fn a_released_duty_is_taken_at_once_and_needs_no_wait() {
    let mut keeper = keeper(1);
    handle(&mut keeper, 0, Event::Woke);
    handle(&mut keeper, 0, Event::Rows(Ok(Some(row(3, true)))));
    assert!(starts_duty(&handle(&mut keeper, 0, Event::Written(Ending::Applied))));
    assert_eq!(keeper.permit(Instant::ZERO, false), Some(4));
}

// An entry releases its duty and restarts, and its successor releases it too. If the entry took it at once, its orders
// could follow those of its former incarnation within the length of a lease, in the order A, B, A, and receivers that
// ignore fencing numbers could not distinguish them. During its cooldown a process therefore waits for the expiry.
#[test]
fn a_young_process_waits_for_a_released_duty_to_lapse() {
    let settings = Settings {
        cooldown_until: Instant::from_secs(10),
        ..Settings::default()
    };
    let mut keeper = Keeper::new(settings, "duties".into(), "entry-1".into(), attempt::Id::new(1));
    handle(&mut keeper, 0, Event::Woke);
    let actions = handle(&mut keeper, 0, Event::Rows(Ok(Some(row(3, true)))));
    assert!(matches!(actions.as_slice(), [Action::Wake(_)]), "{actions:?}");
    handle(&mut keeper, 5, Event::Woke);
    let actions = handle(&mut keeper, 5, Event::Rows(Ok(Some(row(4, true)))));
    assert!(matches!(actions.as_slice(), [Action::Wake(_)]), "{actions:?}");
    handle(&mut keeper, 10, Event::Woke);
    handle(&mut keeper, 10, Event::Rows(Ok(Some(row(4, true)))));
    assert!(starts_duty(&handle(&mut keeper, 10, Event::Written(Ending::Applied))));
}

// The holder is paused until after its lease expired, and does not know that another entry holds the duty. Its clock
// alone has to prevent it from sending an order, until its next renewal conflicts.
#[test]
fn a_holder_that_was_paused_gives_no_order() {
    let mut keeper = keeper(1);
    handle(&mut keeper, 0, Event::Woke);
    handle(&mut keeper, 0, Event::Rows(Ok(None)));
    assert!(starts_duty(&handle(&mut keeper, 0, Event::Written(Ending::Applied))));
    assert_eq!(keeper.permit(Instant::from_secs(13), true), Some(1));
    assert_eq!(keeper.permit(Instant::from_secs(60), true), None);
    handle(&mut keeper, 60, Event::Woke);
    handle(&mut keeper, 60, Event::Written(Ending::Conflict(vec![0])));
    let actions = handle(&mut keeper, 60, Event::Rows(Ok(Some(row(2, false)))));
    assert_eq!(actions[0], Action::End);
}

// The write that takes the lease is applied, but its answer is lost. The keeper retries and finds its own row. It has
// to count its lease from the first try, as other entries count it from the time when that write was applied.
#[test]
fn a_lease_counts_from_the_first_try() {
    let mut keeper = keeper(1);
    handle(&mut keeper, 0, Event::Woke);
    let actions = handle(&mut keeper, 0, Event::Rows(Ok(None)));
    let Some(Action::Write(write)) = actions.first() else {
        panic!("{actions:?}");
    };
    let Change::Put(body) = write.change.clone() else {
        panic!("{write:?}");
    };
    handle(&mut keeper, 0, Event::Written(Ending::Unknown));
    handle(&mut keeper, 10, Event::Rows(Ok(None)));
    handle(&mut keeper, 10, Event::Written(Ending::Conflict(vec![0])));
    let own = Row { version: 1, body };
    assert!(starts_duty(&handle(&mut keeper, 10, Event::Rows(Ok(Some(own))))));
    assert_eq!(keeper.permit(Instant::from_secs(13), true), Some(1));
    assert_eq!(keeper.permit(Instant::from_secs(14), true), None);
}

quickcheck! {
    fn any_bytes_are_a_record_or_an_error(bytes: Vec<u8>) -> bool {
        lease::Record::decode(&bytes).is_ok_and(|record| lease::Record::decode(&record.encode()) == Ok(record))
            || lease::Record::decode(&bytes).is_err()
    }
}

const LATENCY: Duration = Duration::from_millis(10);
const OUTAGE_START: Instant = Instant::from_secs(60);
const OUTAGE_END: Instant = Instant::from_secs(60 + 3_600);
const END: Instant = Instant::from_secs(60 + 3_600 + 120);

/// Keeper of one duty at one entry.
struct Candidate {
    entry: usize,
    duty: usize,
    keeper: Keeper,
    is_alive: bool,
}

/// Simulation of many entries and duties with one table, in virtual time.
struct Simulation {
    candidates: Vec<Candidate>,
    rows: BTreeMap<Key, Row>,
    events: BTreeMap<(Instant, u64), (usize, Event)>,
    /// Numbers of reads and writes in each second, of all entries.
    operations: BTreeMap<u64, [u32; 2]>,
    entry_operations: BTreeMap<(usize, u64), u32>,
    holders: BTreeMap<usize, usize>,
    next_id: u64,
    random: Pcg64Mcg,
}

impl Simulation {
    fn new(entries: usize, duties: usize, watchers: usize) -> Self {
        let names = (0..entries)
            .map(|entry| name::Entry::new(format!("entry-{entry}")))
            .collect::<Vec<_>>();
        let mut simulation = Self {
            candidates: Vec::new(),
            rows: BTreeMap::new(),
            events: BTreeMap::new(),
            operations: BTreeMap::new(),
            entry_operations: BTreeMap::new(),
            holders: BTreeMap::new(),
            next_id: 0,
            random: Pcg64Mcg::new(42),
        };
        for duty in 0..duties {
            let duty_name = SmolStr::new(format!("duty-{duty}"));
            for (entry, name) in names.iter().enumerate() {
                if lease::rank(&duty_name, name, &names) < watchers {
                    let incarnation = attempt::Id::new(entry as u128 + 1);
                    let keeper = Keeper::new(Settings::default(), duty_name.clone(), name.clone(), incarnation);
                    let index = simulation.candidates.len();
                    simulation.candidates.push(Candidate {
                        entry,
                        duty,
                        keeper,
                        is_alive: true,
                    });
                    simulation.schedule(Instant::from_millis(index as u64), index, Event::Woke);
                }
            }
        }
        simulation
    }

    fn schedule(&mut self, at: Instant, index: usize, event: Event) {
        self.events.insert((at, self.next_id), (index, event));
        self.next_id += 1;
    }

    fn run(&mut self, until: Instant) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 < until) {
            let (now, _) = *entry.key();
            let (index, event) = entry.remove();
            if self.candidates[index].is_alive {
                let actions = self.candidates[index].keeper.on(now, event, &mut self.random);
                for action in actions {
                    self.carry_out(now, index, action);
                }
            }
        }
    }

    fn carry_out(&mut self, now: Instant, index: usize, action: Action) {
        let answered = now + LATENCY;
        let is_up = now < OUTAGE_START || now >= OUTAGE_END;
        match action {
            Action::Read(key) => {
                self.count(now, index, 0);
                let row = if is_up {
                    Ok(self.rows.get(&key).cloned())
                } else {
                    Err(Unreachable)
                };
                self.schedule(answered, index, Event::Rows(row));
            }
            Action::Write(write) => {
                self.count(now, index, 1);
                let ending = if is_up { self.apply(write) } else { Ending::Refused };
                self.schedule(answered, index, Event::Written(ending));
            }
            Action::Wake(at) => self.schedule(at, index, Event::Woke),
            Action::Begin { .. } => {
                self.holders.insert(self.candidates[index].duty, index);
            }
            Action::End => {}
        }
    }

    fn apply(&mut self, write: Write) -> Ending {
        let version = self.rows.get(&write.key).map(|row| row.version);
        let holds = match write.condition {
            Condition::Absent => version.is_none(),
            Condition::Version(required) => version == Some(required),
            Condition::Any => true,
        };
        let Change::Put(body) = write.change else {
            return Ending::Refused;
        };
        if !holds {
            return Ending::Conflict(vec![0]);
        }
        let version = version.unwrap_or(0) + 1;
        self.rows.insert(write.key, Row { version, body });
        Ending::Applied
    }

    fn count(&mut self, now: Instant, index: usize, kind: usize) {
        let second = now.as_micros() / 1_000_000;
        self.operations.entry(second).or_default()[kind] += 1;
        *self
            .entry_operations
            .entry((self.candidates[index].entry, second))
            .or_default() += 1;
    }

    /// Returns the maximum numbers of reads and writes in a second, each over the given time.
    fn peak(&self, from: Instant, to: Instant) -> [u32; 2] {
        let seconds = from.as_micros() / 1_000_000..to.as_micros() / 1_000_000;
        let mut peak = [0; 2];
        for counts in self.operations.range(seconds).map(|(_, counts)| counts) {
            peak = [peak[0].max(counts[0]), peak[1].max(counts[1])];
        }
        peak
    }

    /// Returns the number of duties whose holder may send orders.
    fn held(&self, now: Instant) -> usize {
        let holds = |index: &&usize| {
            let candidate = &self.candidates[**index];
            candidate.is_alive && candidate.keeper.permit(now, true).is_some()
        };
        self.holders.values().filter(holds).count()
    }

    fn kill_every_third_holder(&mut self) {
        for index in self.holders.values().step_by(3) {
            self.candidates[*index].is_alive = false;
        }
    }
}

// The table is unavailable for an hour, in which a third of the holders die. Afterwards, hundreds of keepers renew,
// read or take over leases. Backoff and jitter have to spread these operations, and each duty has to be held again
// within a minute.
#[test]
fn an_hour_without_the_table_ends_without_a_rush() {
    for (entries, duties) in [(8, 16), (390, 100)] {
        let mut simulation = Simulation::new(entries, duties, 3);
        simulation.run(OUTAGE_START);
        assert_eq!(simulation.held(OUTAGE_START), duties);
        let before = simulation.peak(Instant::from_secs(30), OUTAGE_START);
        simulation.kill_every_third_holder();
        simulation.run(OUTAGE_END);
        assert_eq!(
            simulation.held(OUTAGE_END),
            0,
            "no order is given that the table did not allow"
        );
        let during = simulation.peak(OUTAGE_START + Duration::from_mins(5), OUTAGE_END);
        simulation.run(OUTAGE_END + Duration::from_mins(1));
        assert_eq!(simulation.held(OUTAGE_END + Duration::from_mins(1)), duties);
        simulation.run(END);
        let after = simulation.peak(OUTAGE_END, END);
        let entry = simulation.entry_operations.values().max().copied().unwrap_or(0);
        println!(
            "{entries} entries, {duties} duties: reads and writes in the busiest second: calm {before:?}, down {during:?}, after {after:?}; one entry {entry}"
        );
        assert!(after[0] <= 2 * before[0].max(10) && after[1] <= 2 * before[1].max(10));
    }
}

fn holds(number: u64, version: u64, left: u64) -> Event {
    let left = Duration::from_secs(left);
    Event::Received(lease::Notice::Holds { number, version, left })
}

// The holder is killed three seconds after it sent a notice that its lease expires in four seconds. A watcher that
// reads the row only then must not wait for a whole lease from its first read, as the notice gives the expiry time.
#[test]
fn a_lease_ends_when_its_holder_said_that_it_would() {
    let mut keeper = keeper(1);
    handle(&mut keeper, 0, holds(4, 7, 4));
    handle(&mut keeper, 3, Event::Woke);
    let actions = handle(&mut keeper, 3, Event::Rows(Ok(Some(row(4, false)))));
    assert!(
        matches!(actions.as_slice(), [Action::Wake(at)] if *at <= Instant::from_secs(4)),
        "{actions:?}"
    );
    handle(&mut keeper, 4, Event::Woke);
    let actions = handle(&mut keeper, 4, Event::Rows(Ok(Some(row(4, false)))));
    assert!(matches!(actions.as_slice(), [Action::Write(_)]), "{actions:?}");
}

// The holder renewed its lease after it sent a notice, which the row's version shows. A watcher that used the expiry
// time of that notice would take a valid lease.
#[test]
fn a_notice_from_before_a_renewal_ends_no_lease() {
    let mut keeper = keeper(1);
    handle(&mut keeper, 0, holds(4, 6, 4));
    handle(&mut keeper, 5, Event::Woke);
    let actions = handle(&mut keeper, 5, Event::Rows(Ok(Some(row(4, false)))));
    assert!(matches!(actions.as_slice(), [Action::Wake(_)]), "{actions:?}");
}

// The store refuses the holder only. The holder gives the duty up by a notice, and its successor takes it at once
// although the row still names the holder. After giving it up, an entry takes no released duty early for the length of
// a lease.
#[test]
fn a_duty_that_is_given_up_by_word_is_taken_at_once() {
    let mut keeper = keeper(1);
    let notice = Event::Received(lease::Notice::GaveUp { number: 4 });
    assert_eq!(handle(&mut keeper, 20, notice), [Action::Wake(Instant::from_secs(20))]);
    handle(&mut keeper, 20, holds(4, 7, 9));
    handle(&mut keeper, 20, Event::Woke);
    let actions = handle(&mut keeper, 20, Event::Rows(Ok(Some(row(4, false)))));
    assert!(matches!(actions.as_slice(), [Action::Write(_)]), "{actions:?}");
    assert!(starts_duty(&handle(&mut keeper, 20, Event::Written(Ending::Applied))));

    assert_eq!(handle(&mut keeper, 21, Event::GiveUp), [Action::End]);
    assert_eq!(keeper.permit(Instant::from_secs(21), true), None);
    assert_eq!(
        keeper.notice(Instant::from_secs(21)),
        Some(lease::Notice::GaveUp { number: 5 })
    );
    handle(&mut keeper, 22, Event::Woke);
    let own = handle(&mut keeper, 22, Event::Rows(Ok(Some(row(6, true)))));
    assert!(matches!(own.as_slice(), [Action::Wake(_)]), "{own:?}");
}

fn takes_lease(actions: &[Action]) -> bool {
    matches!(actions, [Action::Write(_)])
}

// The table is restored from a copy in which another entry held the lease. The last holder keeps the duty, and writes
// its lease again under a number that no entry had before.
#[test]
fn a_holder_whose_lease_was_lost_takes_it_again_under_a_new_number() {
    let mut keeper = keeper(1);
    handle(&mut keeper, 0, Event::Woke);
    handle(&mut keeper, 0, Event::Rows(Ok(Some(row(8, true)))));
    assert!(starts_duty(&handle(&mut keeper, 0, Event::Written(Ending::Applied))));
    assert_eq!(
        handle(&mut keeper, 4, Event::Era(1)),
        [Action::Wake(Instant::from_secs(4))]
    );
    assert_eq!(keeper.permit(Instant::from_secs(4), true), Some(9));
    let reads = handle(&mut keeper, 4, Event::Woke);
    assert!(matches!(reads.as_slice(), [Action::Read(_)]), "{reads:?}");
    assert!(takes_lease(&handle(
        &mut keeper,
        4,
        Event::Rows(Ok(Some(row(7, false))))
    )));
    assert!(starts_duty(&handle(&mut keeper, 4, Event::Written(Ending::Applied))));
    assert!(keeper.permit(Instant::from_secs(15), true) > Some(9));
}

// The restored row says that the duty is free, or is missing, while a holder of which the copy knows nothing still has
// its lease. All others wait until such a lease has expired and its last order has arrived.
#[test]
fn after_a_restore_a_free_duty_is_taken_only_when_a_lost_lease_has_expired() {
    for restored in [None, Some(row(3, true))] {
        let mut keeper = keeper(1);
        handle(&mut keeper, 0, Event::Woke);
        handle(&mut keeper, 0, Event::Rows(Ok(Some(row(4, false)))));
        handle(&mut keeper, 3, Event::Era(1));
        handle(&mut keeper, 3, holds(4, 7, 0));
        for seconds in [3, 8, 13, 17] {
            handle(&mut keeper, seconds, Event::Woke);
            let actions = handle(&mut keeper, seconds, Event::Rows(Ok(restored.clone())));
            assert!(matches!(actions.as_slice(), [Action::Wake(_)]), "{actions:?}");
        }
        handle(&mut keeper, 28, Event::Woke);
        assert!(takes_lease(&handle(&mut keeper, 28, Event::Rows(Ok(restored)))));
    }
}

// The answer to a renewal arrives after the process learnt that the table was restored. The renewal is lost.
#[test]
fn a_write_from_before_a_restore_renews_nothing() {
    let mut keeper = keeper(1);
    handle(&mut keeper, 0, Event::Woke);
    handle(&mut keeper, 0, Event::Rows(Ok(None)));
    handle(&mut keeper, 0, Event::Written(Ending::Applied));
    handle(&mut keeper, 5, Event::Woke);
    handle(&mut keeper, 6, Event::Era(1));
    let actions = handle(&mut keeper, 6, Event::Written(Ending::Applied));
    assert!(matches!(actions.as_slice(), [Action::Read(_)]), "{actions:?}");
    assert_eq!(keeper.permit(Instant::from_secs(14), true), None);
}
