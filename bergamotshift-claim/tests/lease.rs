//! Control leases: what a holder may do, and the table's load when it comes back after an hour, in virtual time.

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

fn keeper(life: u128) -> Keeper {
    let duty = SmolStr::new_static("capacity/planner-llm/rotterdam-hall");
    Keeper::new(Settings::default(), duty, "entry-1".into(), attempt::Id::new(life))
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

fn tell(keeper: &mut Keeper, seconds: u64, event: Event) -> Vec<Action> {
    keeper.on(Instant::from_secs(seconds), event, &mut Pcg64Mcg::new(1))
}

fn begins(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Begin { .. }))
}

// The holder's VM is gone. Its row stands still for the lease's length, then this entry takes the duty. An endpoint
// that checks numbers gets orders at once; one that ignores them not before the old holder's last order must have
// arrived.
#[test]
fn a_successor_waits_for_endpoints_that_ignore_numbers() {
    let mut keeper = keeper(1);
    for seconds in [0, 5, 10, 14] {
        tell(&mut keeper, seconds, Event::Woke);
        let actions = tell(&mut keeper, seconds, Event::Rows(Ok(Some(row(3, false)))));
        assert!(matches!(actions.as_slice(), [Action::Wake(_)]), "{actions:?}");
    }
    tell(&mut keeper, 15, Event::Woke);
    let actions = tell(&mut keeper, 15, Event::Rows(Ok(Some(row(3, false)))));
    assert!(matches!(actions.as_slice(), [Action::Write(_)]), "{actions:?}");
    let actions = tell(&mut keeper, 15, Event::Written(Ending::Applied));
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
    tell(&mut keeper, 0, Event::Woke);
    tell(&mut keeper, 0, Event::Rows(Ok(Some(row(3, true)))));
    assert!(begins(&tell(&mut keeper, 0, Event::Written(Ending::Applied))));
    assert_eq!(keeper.permit(Instant::ZERO, false), Some(4));
}

// An entry stops, gives its duty back and is started again. Its successor stops as well, so the duty is free once more.
// Taken at once, its orders could follow those of its first life within a lease, in the order A, B, A, and whoever
// ignores numbers would mix them up. So a young process waits for a lapse, and takes it at once when it is older.
#[test]
fn a_young_process_waits_for_a_released_duty_to_lapse() {
    let young = Settings {
        cooldown_until: Instant::from_secs(10),
        ..Settings::default()
    };
    let mut keeper = Keeper::new(young, "duties".into(), "entry-1".into(), attempt::Id::new(1));
    tell(&mut keeper, 0, Event::Woke);
    let actions = tell(&mut keeper, 0, Event::Rows(Ok(Some(row(3, true)))));
    assert!(matches!(actions.as_slice(), [Action::Wake(_)]), "{actions:?}");
    tell(&mut keeper, 5, Event::Woke);
    let actions = tell(&mut keeper, 5, Event::Rows(Ok(Some(row(4, true)))));
    assert!(matches!(actions.as_slice(), [Action::Wake(_)]), "{actions:?}");
    tell(&mut keeper, 10, Event::Woke);
    tell(&mut keeper, 10, Event::Rows(Ok(Some(row(4, true)))));
    assert!(begins(&tell(&mut keeper, 10, Event::Written(Ending::Applied))));
}

// The holder is paused past its lease and wakes up. Nothing has told it that another entry holds the duty by now.
// Its clock alone must keep it from giving an order; its next renewal then tells it the rest.
#[test]
fn a_holder_that_was_paused_gives_no_order() {
    let mut keeper = keeper(1);
    tell(&mut keeper, 0, Event::Woke);
    tell(&mut keeper, 0, Event::Rows(Ok(None)));
    assert!(begins(&tell(&mut keeper, 0, Event::Written(Ending::Applied))));
    assert_eq!(keeper.permit(Instant::from_secs(13), true), Some(1));
    assert_eq!(keeper.permit(Instant::from_secs(60), true), None);
    tell(&mut keeper, 60, Event::Woke);
    tell(&mut keeper, 60, Event::Written(Ending::Conflict(vec![0])));
    let actions = tell(&mut keeper, 60, Event::Rows(Ok(Some(row(2, false)))));
    assert_eq!(actions[0], Action::End);
}

// The table loses the answer to the write that took the lease, and the write landed. The keeper tries again, meets
// its own row, and must count its lease from the first try: others have counted since that one landed.
#[test]
fn a_lease_counts_from_the_first_try() {
    let mut keeper = keeper(1);
    tell(&mut keeper, 0, Event::Woke);
    let actions = tell(&mut keeper, 0, Event::Rows(Ok(None)));
    let Some(Action::Write(write)) = actions.first() else {
        panic!("{actions:?}");
    };
    let Change::Put(body) = write.change.clone() else {
        panic!("{write:?}");
    };
    tell(&mut keeper, 0, Event::Written(Ending::Unknown));
    tell(&mut keeper, 10, Event::Rows(Ok(None)));
    tell(&mut keeper, 10, Event::Written(Ending::Conflict(vec![0])));
    let own = Row { version: 1, body };
    assert!(begins(&tell(&mut keeper, 10, Event::Rows(Ok(Some(own))))));
    assert_eq!(keeper.permit(Instant::from_secs(13), true), Some(1));
    assert_eq!(keeper.permit(Instant::from_secs(14), true), None);
}

quickcheck! {
    fn any_bytes_are_a_record_or_refused(bytes: Vec<u8>) -> bool {
        lease::Record::decode(&bytes).is_ok_and(|record| lease::Record::decode(&record.encode()) == Ok(record))
            || lease::Record::decode(&bytes).is_err()
    }
}

const LATENCY: Duration = Duration::from_millis(10);
const DOWN: Instant = Instant::from_secs(60);
const BACK: Instant = Instant::from_secs(60 + 3_600);
const END: Instant = Instant::from_secs(60 + 3_600 + 120);

/// One entry's keeper of one duty.
struct Candidate {
    entry: usize,
    duty: usize,
    keeper: Keeper,
    alive: bool,
}

/// Many entries and duties before one table, in virtual time.
struct Site {
    candidates: Vec<Candidate>,
    rows: BTreeMap<Key, Row>,
    events: BTreeMap<(Instant, u64), (usize, Event)>,
    /// Reads and writes in each second, over all entries.
    operations: BTreeMap<u64, [u32; 2]>,
    by_entry: BTreeMap<(usize, u64), u32>,
    holders: BTreeMap<usize, usize>,
    next: u64,
    random: Pcg64Mcg,
}

impl Site {
    fn new(entries: usize, duties: usize, watchers: usize) -> Self {
        let names = (0..entries)
            .map(|entry| name::Entry::new(format!("entry-{entry}")))
            .collect::<Vec<_>>();
        let mut site = Self {
            candidates: Vec::new(),
            rows: BTreeMap::new(),
            events: BTreeMap::new(),
            operations: BTreeMap::new(),
            by_entry: BTreeMap::new(),
            holders: BTreeMap::new(),
            next: 0,
            random: Pcg64Mcg::new(42),
        };
        for duty in 0..duties {
            let text = SmolStr::new(format!("duty-{duty}"));
            for (entry, name) in names.iter().enumerate() {
                if lease::rank(&text, name, &names) < watchers {
                    let life = attempt::Id::new(entry as u128 + 1);
                    let keeper = Keeper::new(Settings::default(), text.clone(), name.clone(), life);
                    let place = site.candidates.len();
                    site.candidates.push(Candidate {
                        entry,
                        duty,
                        keeper,
                        alive: true,
                    });
                    site.later(Instant::from_millis(place as u64), place, Event::Woke);
                }
            }
        }
        site
    }

    fn later(&mut self, at: Instant, place: usize, event: Event) {
        self.events.insert((at, self.next), (place, event));
        self.next += 1;
    }

    fn run(&mut self, until: Instant) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 < until) {
            let (now, _) = *entry.key();
            let (place, event) = entry.remove();
            if self.candidates[place].alive {
                let actions = self.candidates[place].keeper.on(now, event, &mut self.random);
                for action in actions {
                    self.carry_out(now, place, action);
                }
            }
        }
    }

    fn carry_out(&mut self, now: Instant, place: usize, action: Action) {
        let answered = now + LATENCY;
        let up = now < DOWN || now >= BACK;
        match action {
            Action::Read(key) => {
                self.count(now, place, 0);
                let row = if up {
                    Ok(self.rows.get(&key).cloned())
                } else {
                    Err(Unreachable)
                };
                self.later(answered, place, Event::Rows(row));
            }
            Action::Write(write) => {
                self.count(now, place, 1);
                let ending = if up { self.apply(write) } else { Ending::Refused };
                self.later(answered, place, Event::Written(ending));
            }
            Action::Wake(at) => self.later(at, place, Event::Woke),
            Action::Begin { .. } => {
                self.holders.insert(self.candidates[place].duty, place);
            }
            Action::End => {}
        }
    }

    fn apply(&mut self, write: Write) -> Ending {
        let version = self.rows.get(&write.key).map(|row| row.version);
        let holds = match write.condition {
            Condition::Absent => version.is_none(),
            Condition::Version(wanted) => version == Some(wanted),
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

    fn count(&mut self, now: Instant, place: usize, kind: usize) {
        let second = now.as_micros() / 1_000_000;
        self.operations.entry(second).or_default()[kind] += 1;
        *self.by_entry.entry((self.candidates[place].entry, second)).or_default() += 1;
    }

    fn most(&self, from: Instant, to: Instant) -> [u32; 2] {
        let seconds = from.as_micros() / 1_000_000..to.as_micros() / 1_000_000;
        let mut most = [0; 2];
        for counts in self.operations.range(seconds).map(|(_, counts)| counts) {
            most = [most[0].max(counts[0]), most[1].max(counts[1])];
        }
        most
    }

    /// Returns how many duties are held by an entry that may give orders.
    fn held(&self, now: Instant) -> usize {
        let holds = |place: &&usize| {
            let candidate = &self.candidates[**place];
            candidate.alive && candidate.keeper.permit(now, true).is_some()
        };
        self.holders.values().filter(holds).count()
    }

    fn kill_every_third_holder(&mut self) {
        for place in self.holders.values().step_by(3) {
            self.candidates[*place].alive = false;
        }
    }
}

// The table is down for an hour, and a third of the holders die in that time. When it is back, hundreds of keepers
// want to renew, to look or to take over. Their waits have grown apart, so the table does not get them all at once,
// and every duty is held again within a minute.
#[test]
fn an_hour_without_the_table_ends_without_a_rush() {
    for (entries, duties) in [(8, 16), (390, 100)] {
        let mut site = Site::new(entries, duties, 3);
        site.run(DOWN);
        assert_eq!(site.held(DOWN), duties);
        let calm = site.most(Instant::from_secs(30), DOWN);
        site.kill_every_third_holder();
        site.run(BACK);
        assert_eq!(site.held(BACK), 0, "no order is given that the table did not allow");
        let down = site.most(DOWN + Duration::from_mins(5), BACK);
        site.run(BACK + Duration::from_mins(1));
        assert_eq!(site.held(BACK + Duration::from_mins(1)), duties);
        site.run(END);
        let rush = site.most(BACK, END);
        let entry = site.by_entry.values().max().copied().unwrap_or(0);
        println!(
            "{entries} entries, {duties} duties: reads and writes in the busiest second: calm {calm:?}, down {down:?}, after {rush:?}; one entry {entry}"
        );
        assert!(rush[0] <= 2 * calm[0].max(10) && rush[1] <= 2 * calm[1].max(10));
    }
}

fn word(number: u64, version: u64, left: u64) -> Event {
    let left = Duration::from_secs(left);
    Event::Received(lease::Notice::Holds { number, version, left })
}

// The holder's VM is killed three seconds after it said that its lease stands for four more. Whoever watches misses it only
// then. It need not wait for a whole lease from its first look: by the holder's own word the lease is over.
#[test]
fn a_lease_ends_when_its_holder_said_that_it_would() {
    let mut keeper = keeper(1);
    tell(&mut keeper, 0, word(4, 7, 4));
    tell(&mut keeper, 3, Event::Woke);
    let actions = tell(&mut keeper, 3, Event::Rows(Ok(Some(row(4, false)))));
    assert!(
        matches!(actions.as_slice(), [Action::Wake(at)] if *at <= Instant::from_secs(4)),
        "{actions:?}"
    );
    tell(&mut keeper, 4, Event::Woke);
    let actions = tell(&mut keeper, 4, Event::Rows(Ok(Some(row(4, false)))));
    assert!(matches!(actions.as_slice(), [Action::Write(_)]), "{actions:?}");
}

// The holder renewed its lease after what was heard of it. The row's version tells, and the lease is waited out.
#[test]
fn a_word_from_before_a_renewal_ends_no_lease() {
    let mut keeper = keeper(1);
    tell(&mut keeper, 0, word(4, 6, 4));
    tell(&mut keeper, 5, Event::Woke);
    let actions = tell(&mut keeper, 5, Event::Rows(Ok(Some(row(4, false)))));
    assert!(matches!(actions.as_slice(), [Action::Wake(_)]), "{actions:?}");
}

// The store turns the holder away and serves the others. The holder gives the duty up by word, its row still says that it
// holds it, and its successor begins at once. The holder itself takes it back from nobody before a lease is over.
#[test]
fn a_duty_that_is_given_up_by_word_is_taken_at_once() {
    let mut keeper = keeper(1);
    let heard = Event::Received(lease::Notice::GaveUp { number: 4 });
    assert_eq!(tell(&mut keeper, 20, heard), [Action::Wake(Instant::from_secs(20))]);
    tell(&mut keeper, 20, word(4, 7, 9));
    tell(&mut keeper, 20, Event::Woke);
    let actions = tell(&mut keeper, 20, Event::Rows(Ok(Some(row(4, false)))));
    assert!(matches!(actions.as_slice(), [Action::Write(_)]), "{actions:?}");
    assert!(begins(&tell(&mut keeper, 20, Event::Written(Ending::Applied))));

    assert_eq!(tell(&mut keeper, 21, Event::GiveUp), [Action::End]);
    assert_eq!(keeper.permit(Instant::from_secs(21), true), None);
    assert_eq!(
        keeper.notice(Instant::from_secs(21)),
        Some(lease::Notice::GaveUp { number: 5 })
    );
    tell(&mut keeper, 22, Event::Woke);
    let own = tell(&mut keeper, 22, Event::Rows(Ok(Some(row(6, true)))));
    assert!(matches!(own.as_slice(), [Action::Wake(_)]), "{own:?}");
}
