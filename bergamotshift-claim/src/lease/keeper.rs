//! Holds one duty's lease, or watches who does.

use core::time::Duration;

use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::name;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Write;
use rand::Rng;
use smol_str::SmolStr;

use super::Notice;
use super::Record;
use super::record;
use crate::driver::Reading;

/// How leases are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long a lease stands without renewal.
    pub length: Duration,
    /// The time between two renewals.
    pub renewal_interval: Duration,
    /// How long before the lease's end no order is given any more; covers what clocks drift apart in a lease.
    pub margin: Duration,
    /// The longest pause of a process between the permission for an order and its last byte, and the longest way of
    /// that order to its endpoint.
    pub max_order_delay: Duration,
    /// The time between two looks at a lease that somebody else holds.
    pub poll_interval: Duration,
    /// The longest wait between two tries while the table does not answer.
    pub backoff_limit: Duration,
    /// The share of each wait that is drawn at random, in percent.
    pub jitter_percent: u32,
    /// Until when a lease that was given back is taken only once it has lapsed. A process that gave it back and was
    /// started again would otherwise follow its own successor within a lease, and whoever takes orders without
    /// checking numbers could not tell the two apart.
    pub cooldown_until: Instant,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(15),
            renewal_interval: Duration::from_secs(5),
            margin: Duration::from_secs(1),
            max_order_delay: Duration::from_secs(10),
            poll_interval: Duration::from_secs(5),
            backoff_limit: Duration::from_secs(30),
            jitter_percent: 50,
            cooldown_until: Instant::ZERO,
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The keeper starts, or the time of the last [`Action::Wake`] has come.
    Woke,
    /// The last read ended.
    Rows(Reading),
    /// The last write ended.
    Written(Ending),
    /// The duty is to go to another entry; no order of this one is on its way any more.
    Resign,
    /// The duty is to go to another entry though the table cannot be told; no order of this one is on its way any more.
    GiveUp,
    /// Another entry said something of the lease just now.
    Received(Notice),
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the lease's row consistently; [`Event::Rows`] brings it.
    Read(Key),
    /// Carry out a write; [`Event::Written`] tells how it ended.
    Write(Write),
    /// Wake the keeper at this time; replaces the earlier one.
    Wake(Instant),
    /// This entry holds the duty under a new number: read the state that it is about, then correct it.
    Begin {
        /// The fencing number.
        number: u64,
    },
    /// Another entry holds the duty now.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Waiting,
    Reading,
    Writing,
    Resigned,
}

/// A lease that this entry holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    number: u64,
    version: u64,
    /// When the lease ends, by this entry's clock, counted from before the write that last renewed it.
    until: Instant,
    /// From when on endpoints that ignore the number may get orders.
    settled: Instant,
}

/// What a watcher saw last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sight {
    version: u64,
    since: Instant,
}

/// What another entry said last of a lease, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Heard {
    word: Notice,
    at: Instant,
}

impl Heard {
    /// Returns when the lease that was seen ends as its holder said; `None` when nothing was said of it.
    fn ends(self, found: u64, seen: u64) -> Option<Instant> {
        match self.word {
            Notice::Holds { number, version, left } if (number, version) == (found, seen) => Some(self.at + left),
            _ => None,
        }
    }

    fn is_given_up(self, found: u64) -> bool {
        self.word == Notice::GaveUp { number: found }
    }
}

/// Keeps or watches one duty's lease at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    settings: Settings,
    duty: SmolStr,
    holder: name::Entry,
    life: attempt::Id,
    phase: Phase,
    held: Option<Held>,
    sight: Option<Sight>,
    heard: Option<Heard>,
    /// The number under which this entry acts no more, though its row may say otherwise.
    gave_up: Option<u64>,
    /// The number and the time of the write on its way, and whether its predecessor let the duty go.
    attempted: Attempted,
    failures: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Attempted {
    number: u64,
    base: u64,
    at: Instant,
    released: bool,
}

impl Keeper {
    /// Makes a keeper; `life` is drawn at random when the process starts.
    pub const fn new(settings: Settings, duty: SmolStr, holder: name::Entry, life: attempt::Id) -> Self {
        Self {
            settings,
            duty,
            holder,
            life,
            phase: Phase::Waiting,
            held: None,
            sight: None,
            heard: None,
            gave_up: None,
            attempted: Attempted {
                number: 0,
                base: 0,
                at: Instant::ZERO,
                released: false,
            },
            failures: 0,
        }
    }

    /// Returns the fencing number under which an order may be given now.
    ///
    /// `checks` tells whether the endpoint refuses orders with old numbers.
    pub fn permit(&self, now: Instant, checks: bool) -> Option<u64> {
        let held = self.held?;
        // A holder that was paused wakes up believing in its lease: only its clock tells that the lease has lapsed.
        let inside = now + self.settings.margin < held.until;
        let settled = checks || now >= held.settled;
        (inside && settled).then_some(held.number)
    }

    /// Returns when the lease that is held ends by this entry's clock; an order that was not answered by then is given up.
    pub fn expires_at(&self) -> Option<Instant> {
        self.held.map(|held| held.until)
    }

    /// Returns what the other entries are to be told of the lease.
    pub fn notice(&self, now: Instant) -> Option<Notice> {
        let gave_up = self.gave_up.map(|number| Notice::GaveUp { number });
        let holds = self.held.map(|held| Notice::Holds {
            number: held.number,
            version: held.version,
            left: held.until.since(now),
        });
        holds.or(gave_up)
    }

    /// Takes an event in and returns what is to be done about it, in order.
    pub fn on(&mut self, now: Instant, event: Event, random: &mut impl Rng) -> Vec<Action> {
        match (event, self.phase) {
            (Event::Woke, Phase::Waiting) if self.held.is_some() => self.renew(now),
            (Event::Woke, Phase::Waiting) => self.read(),
            (Event::Rows(Ok(row)), Phase::Reading) => {
                self.failures = 0;
                self.seen(now, row, random)
            }
            (Event::Rows(Err(_)), Phase::Reading) => self.back_off(now, random),
            (Event::Written(ending), Phase::Writing) => self.written(now, &ending, random),
            (Event::Resign, _) => self.resign(),
            (Event::GiveUp, _) => self.give_up(now),
            (Event::Received(word), _) => self.hear(now, word),
            _ => Vec::new(),
        }
    }

    fn read(&mut self) -> Vec<Action> {
        self.phase = Phase::Reading;
        vec![Action::Read(record::row(&self.duty))]
    }

    fn renew(&mut self, now: Instant) -> Vec<Action> {
        let Some(held) = self.held else {
            return self.read();
        };
        self.put(now, held.number, held.version, false)
    }

    fn put(&mut self, at: Instant, number: u64, base: u64, released: bool) -> Vec<Action> {
        self.phase = Phase::Writing;
        // A write that was lost may still land, and others count the lease from then. So the same write counts from
        // its first try, or this entry would believe in its lease after its successor took over.
        let tried = self.attempted.number == number && self.attempted.base == base;
        let at = if tried { self.attempted.at } else { at };
        self.attempted = Attempted {
            number,
            base,
            at,
            released,
        };
        let record = self.record(number, false);
        vec![Action::Write(record.over(&self.duty, base))]
    }

    fn record(&self, number: u64, released: bool) -> Record {
        Record {
            holder: self.holder.clone(),
            life: self.life,
            number,
            length: u32::try_from(self.settings.length.as_millis()).unwrap_or(u32::MAX),
            released,
        }
    }

    fn written(&mut self, now: Instant, ending: &Ending, random: &mut impl Rng) -> Vec<Action> {
        match ending {
            Ending::Applied => {
                self.failures = 0;
                self.took(now, self.attempted.base + 1, random)
            }
            Ending::Refused => self.back_off(now, random),
            Ending::Conflict(_) | Ending::Unknown => self.read(),
        }
    }

    /// The last write took effect, whenever that was: the lease counts from before it was sent.
    fn took(&mut self, now: Instant, version: u64, random: &mut impl Rng) -> Vec<Action> {
        let Attempted {
            number, at, released, ..
        } = self.attempted;
        if self.gave_up == Some(number) {
            return self.wait(now, self.settings.poll_interval, random);
        }
        let until = at + self.settings.length;
        self.sight = None;
        let wait = self.wait(now, self.settings.renewal_interval, random);
        if let Some(held) = &mut self.held {
            held.version = version;
            held.until = until;
            return wait;
        }
        // The predecessor may have got permission for an order at the end of its lease and been paused before the
        // order left. An endpoint that ignores the number would follow it after one of ours.
        let settled = if released {
            now
        } else {
            now + self.settings.max_order_delay
        };
        self.held = Some(Held {
            number,
            version,
            until,
            settled,
        });
        let mut actions = vec![Action::Begin { number }];
        actions.extend(wait);
        actions
    }

    fn seen(
        &mut self,
        now: Instant,
        row: Option<bergamotshift_core::table::Row>,
        random: &mut impl Rng,
    ) -> Vec<Action> {
        let Some(row) = row else {
            return self.put(now, 1, 0, true);
        };
        let Ok(found) = Record::decode(&row.body) else {
            return self.wait(now, self.settings.poll_interval, random);
        };
        let ours = found.life == self.life && !found.released && self.gave_up != Some(found.number);
        if ours && found.number == self.attempted.number && row.version > self.attempted.base {
            return self.took(now, row.version, random);
        }
        if ours && self.held.is_some_and(|held| held.number == found.number) {
            return self.renew(now);
        }
        let mut actions = Vec::new();
        if self.held.take().is_some() {
            self.rest(now);
            actions.push(Action::End);
        }
        actions.extend(self.watch(now, &found, row.version, random));
        actions
    }

    /// Waits until the holder is gone, then takes its place.
    ///
    /// Failure: a holder is killed, and whoever watches begins to wait out its lease only when it misses the holder.
    /// Symptom: for two thirds of a lease more nobody does the duty. A holder says how long its lease stands without
    /// renewal; what it says is heard later than it was said, so it has ended by then, and a row of another version shows
    /// that it was renewed since.
    fn watch(&mut self, now: Instant, found: &Record, version: u64, random: &mut impl Rng) -> Vec<Action> {
        let since = match self.sight {
            Some(sight) if sight.version == version => sight.since,
            _ => now,
        };
        self.sight = Some(Sight { version, since });
        let ends = self.heard.and_then(|heard| heard.ends(found.number, version));
        let lapsed = now.since(since) >= found.length() || ends.is_some_and(|ends| now >= ends);
        let is_given_up = self.heard.is_some_and(|heard| heard.is_given_up(found.number));
        let is_free = (found.released || is_given_up) && now >= self.settings.cooldown_until;
        if is_free || lapsed {
            return self.put(now, found.number + 1, version, found.released);
        }
        let left = ends.map_or(self.settings.poll_interval, |ends| ends.since(now));
        self.wait(now, self.settings.poll_interval.min(left), random)
    }

    fn hear(&mut self, now: Instant, word: Notice) -> Vec<Action> {
        if self.heard.is_some_and(|heard| !word.replaces(heard.word)) {
            return Vec::new();
        }
        self.heard = Some(Heard { word, at: now });
        match word {
            Notice::GaveUp { .. } if self.phase == Phase::Waiting && self.held.is_none() => vec![Action::Wake(now)],
            _ => Vec::new(),
        }
    }

    /// Acts no more under the number that is held. The row goes on saying that this entry holds the duty, and a renewal
    /// whose answer was lost may still land; whoever hears of it need not wait for the lease to lapse.
    fn give_up(&mut self, now: Instant) -> Vec<Action> {
        let Some(held) = self.held.take() else {
            return Vec::new();
        };
        self.gave_up = Some(held.number);
        self.rest(now);
        vec![Action::End]
    }

    /// Leaves a duty that others give up alone for the length of a lease: whoever takes orders without checking numbers
    /// could not tell this entry's last ones under the old number from the first under the new one.
    fn rest(&mut self, now: Instant) {
        self.settings.cooldown_until = self.settings.cooldown_until.max(now + self.settings.length);
    }

    fn resign(&mut self) -> Vec<Action> {
        self.phase = Phase::Resigned;
        let Some(held) = self.held.take() else {
            return Vec::new();
        };
        let record = self.record(held.number, true);
        vec![Action::End, Action::Write(record.over(&self.duty, held.version))]
    }

    /// Waits longer after each failure: an outage ends for all entries at the same moment.
    fn back_off(&mut self, now: Instant, random: &mut impl Rng) -> Vec<Action> {
        let first = if self.held.is_some() {
            self.settings.renewal_interval
        } else {
            self.settings.poll_interval
        };
        let doubled = first.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.wait(now, doubled.min(self.settings.backoff_limit), random)
    }

    fn wait(&mut self, now: Instant, time: Duration, random: &mut impl Rng) -> Vec<Action> {
        self.phase = Phase::Waiting;
        let drawn = random.next_u32() % (self.settings.jitter_percent + 1);
        vec![Action::Wake(now + time * (100 - drawn) / 100)]
    }
}
