//! State machine that holds a duty's lease, or watches the lease of another holder.

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
use super::state::Held;
use super::state::Observation;
use super::state::Phase;
use super::state::Put;
use super::state::Received;
use crate::driver::Reading;

/// Number of fencing numbers per era of the table, far more than a duty has holders in one.
///
/// Rows that go back would let a number be assigned twice, so the numbers of an era are all above those of earlier ones.
const NUMBERS_PER_ERA: u64 = 1 << 20;

/// Settings of a [`Keeper`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time for which a lease is valid without renewal.
    pub length: Duration,
    /// Interval between two renewals.
    pub renewal_interval: Duration,
    /// Time before the lease expires in which no order is permitted any more. It covers the drift between clocks during
    /// a lease.
    pub margin: Duration,
    /// Maximum time from the permission for an order until it arrives at its endpoint, which includes a pause of the
    /// process before the order's last byte is sent.
    pub max_order_delay: Duration,
    /// Interval between two reads of a lease that another entry holds.
    pub poll_interval: Duration,
    /// Maximum backoff while the table does not answer.
    pub backoff_limit: Duration,
    /// Random share of each wait, in percent.
    pub jitter_percent: u32,
    /// Time until which a released lease is taken only after it has expired. Otherwise an entry that releases its lease
    /// and restarts could follow its own successor within the length of a lease, and receivers that do not check
    /// fencing numbers could not distinguish its orders from its earlier ones.
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

/// Input of a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The keeper starts, or the time of the last [`Action::Wake`] was reached.
    Woke,
    /// The last read ended.
    Rows(Reading),
    /// The last write ended.
    Written(Ending),
    /// The duty is to be released in the table; none of this entry's orders is in flight any more.
    Resign,
    /// The duty is to be given up without a write to the table; none of this entry's orders is in flight any more.
    GiveUp,
    /// A notice about the lease was received from another entry.
    Received(Notice),
    /// The table is in this era, which rises when it is restored from a copy and its rows go back. Reported before the
    /// ending of a call that was answered in the era.
    Era(u64),
}

/// Action that the keeper requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads the lease's row with a consistent read; [`Event::Rows`] reports it.
    Read(Key),
    /// Performs a write; [`Event::Written`] reports the ending.
    Write(Write),
    /// Sets the timer for [`Event::Woke`], replacing an earlier one.
    Wake(Instant),
    /// Starts the duty under a new fencing number: the caller reads the duty's current state, then corrects it.
    Begin {
        /// Fencing number of the lease.
        number: u64,
    },
    /// Stops the duty, as this entry does not hold it any more.
    End,
}

/// State machine of one entry that holds or watches a duty's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    settings: Settings,
    duty: SmolStr,
    holder: name::Entry,
    incarnation: attempt::Id,
    phase: Phase,
    held: Option<Held>,
    observation: Option<Observation>,
    received: Option<Received>,
    /// Era of the table.
    era: u64,
    /// Time at which this entry learnt that the table was restored; `None` if it never was.
    restored_at: Option<Instant>,
    /// Fencing number that this entry gave up, although its row may still name it as the holder.
    gave_up: Option<u64>,
    last_put: Put,
    failures: u32,
}

impl Keeper {
    /// Creates a keeper; `incarnation` is generated at random when the process starts.
    pub const fn new(settings: Settings, duty: SmolStr, holder: name::Entry, incarnation: attempt::Id) -> Self {
        Self {
            settings,
            duty,
            holder,
            incarnation,
            phase: Phase::Waiting,
            held: None,
            observation: None,
            received: None,
            era: 0,
            restored_at: None,
            gave_up: None,
            last_put: Put::NONE,
            failures: 0,
        }
    }

    /// Returns the fencing number under which an order may be sent now.
    ///
    /// `checks_fencing` tells whether the endpoint refuses orders with old numbers.
    pub fn permit(&self, now: Instant, checks_fencing: bool) -> Option<u64> {
        let held = self.held?;
        // A holder that was paused still has the lease in its state; only its clock shows that the lease has expired.
        let is_valid = now + self.settings.margin < held.until;
        let may_order = checks_fencing || now >= held.unfenced_from;
        (is_valid && may_order).then_some(held.number)
    }

    /// Returns the time at which the held lease expires by this entry's clock; an order that was not answered by then
    /// has to be cancelled.
    pub fn expires_at(&self) -> Option<Instant> {
        self.held.map(|held| held.until)
    }

    /// Returns the notice about the lease to send to the other entries.
    pub fn notice(&self, now: Instant) -> Option<Notice> {
        let gave_up = self.gave_up.map(|number| Notice::GaveUp { number });
        let holds = self.held.map(|held| Notice::Holds {
            number: held.number,
            version: held.version,
            left: held.until.since(now),
        });
        holds.or(gave_up)
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn on(&mut self, now: Instant, event: Event, random: &mut impl Rng) -> Vec<Action> {
        match (event, self.phase) {
            (Event::Woke, Phase::Waiting) if self.held.is_some() => self.renew(now),
            (Event::Woke, Phase::Waiting) => self.read(),
            (Event::Rows(Ok(row)), Phase::Reading) => {
                self.failures = 0;
                self.row_read(now, row, random)
            }
            (Event::Rows(Err(_)), Phase::Reading) => self.back_off(now, random),
            (Event::Written(ending), Phase::Writing) => self.written(now, &ending, random),
            (Event::Resign, _) => self.resign(),
            (Event::GiveUp, _) => self.give_up(now),
            (Event::Received(notice), _) => self.receive(now, notice),
            (Event::Era(era), _) => self.enter_era(now, era),
            _ => Vec::new(),
        }
    }

    fn read(&mut self) -> Vec<Action> {
        self.phase = Phase::Reading;
        vec![Action::Read(record::row(&self.duty))]
    }

    fn renew(&mut self, now: Instant) -> Vec<Action> {
        match self.held {
            Some(held) if !self.is_stale(held) => self.put(now, held.number, held.version, false),
            _ => self.read(),
        }
    }

    /// Forgets what rows and notices said before the table was restored, and reads the lease's row again.
    ///
    /// The row may be missing or name an earlier holder. The last holder keeps its lease and writes it again under a
    /// number of the new era; all others wait for the length of a lease, in which the last one has expired.
    fn enter_era(&mut self, now: Instant, era: u64) -> Vec<Action> {
        if era <= self.era {
            return Vec::new();
        }
        self.era = era;
        self.restored_at = Some(now);
        self.observation = None;
        self.received = None;
        self.gave_up = None;
        self.last_put = Put::NONE;
        match self.phase {
            Phase::Waiting => vec![Action::Wake(now)],
            Phase::Reading | Phase::Writing | Phase::Resigned => Vec::new(),
        }
    }

    /// Returns the number below all fencing numbers of the table's era.
    const fn floor(&self) -> u64 {
        self.era.saturating_mul(NUMBERS_PER_ERA)
    }

    /// Returns the fencing number of a holder that follows `number`.
    fn next_number(&self, number: u64) -> u64 {
        number.max(self.floor()) + 1
    }

    /// Returns whether a lease was written before the table was restored.
    const fn is_stale(&self, held: Held) -> bool {
        held.number <= self.floor()
    }

    /// Returns whether all leases of before the last restore have expired, and their last orders have arrived.
    fn is_settled(&self, now: Instant) -> bool {
        let delay = self.settings.length + self.settings.max_order_delay;
        self.restored_at.is_none_or(|restored| now.since(restored) >= delay)
    }

    /// Returns whether the held lease was written before the table was restored, and has not expired.
    fn has_lost_lease(&self, now: Instant) -> bool {
        self.held.is_some_and(|held| self.is_stale(held) && now < held.until)
    }

    /// Writes the lease, not released, over version `base` of the row.
    fn put(&mut self, at: Instant, number: u64, base: u64, released: bool) -> Vec<Action> {
        self.phase = Phase::Writing;
        // A write with an unknown ending may take effect at any time, and other entries count the lease from then on. A
        // retry is therefore counted from the first try; otherwise this entry would assume that it holds the lease
        // after its successor took over.
        let is_retry = self.last_put.number == number && self.last_put.base == base;
        let at = if is_retry { self.last_put.at } else { at };
        self.last_put = Put {
            number,
            base,
            at,
            released,
        };
        let record = self.record(number, false);
        vec![Action::Write(record.write_over(&self.duty, base))]
    }

    fn record(&self, number: u64, released: bool) -> Record {
        Record {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            number,
            length: u32::try_from(self.settings.length.as_millis()).unwrap_or(u32::MAX),
            released,
        }
    }

    fn written(&mut self, now: Instant, ending: &Ending, random: &mut impl Rng) -> Vec<Action> {
        match ending {
            // The table was restored since the write was sent.
            Ending::Applied if self.last_put == Put::NONE => self.read(),
            Ending::Applied => {
                self.failures = 0;
                self.acquired(now, self.last_put.base + 1, random)
            }
            Ending::Refused => self.back_off(now, random),
            Ending::Conflict(_) | Ending::Unknown => self.read(),
        }
    }

    /// Records that the last write took effect; the lease counts from before it was first sent.
    fn acquired(&mut self, now: Instant, version: u64, random: &mut impl Rng) -> Vec<Action> {
        let Put {
            number, at, released, ..
        } = self.last_put;
        if self.gave_up == Some(number) {
            return self.wait(now, self.settings.poll_interval, random);
        }
        let until = at + self.settings.length;
        self.observation = None;
        let wait = self.wait(now, self.settings.renewal_interval, random);
        if let Some(held) = &mut self.held {
            held.version = version;
            held.until = until;
            let is_renumbered = core::mem::replace(&mut held.number, number) != number;
            let begin = is_renumbered.then_some(Action::Begin { number });
            return begin.into_iter().chain(wait).collect();
        }
        // The former holder may have been paused between the permission for an order at the end of its lease and
        // sending it. An endpoint that ignores the number would execute that order after one of this entry.
        let unfenced_from = if released {
            now
        } else {
            now + self.settings.max_order_delay
        };
        self.held = Some(Held {
            number,
            version,
            until,
            unfenced_from,
        });
        let mut actions = vec![Action::Begin { number }];
        actions.extend(wait);
        actions
    }

    /// Acts on the lease's row: takes, renews or watches the lease.
    fn row_read(
        &mut self,
        now: Instant,
        row: Option<bergamotshift_core::table::Row>,
        random: &mut impl Rng,
    ) -> Vec<Action> {
        let Some(row) = row else {
            return self.row_missing(now, random);
        };
        let Ok(found) = Record::decode(&row.body) else {
            return self.wait(now, self.settings.poll_interval, random);
        };
        if self.has_lost_lease(now) {
            return self.put(now, self.next_number(found.number), row.version, true);
        }
        let is_own = found.incarnation == self.incarnation && !found.released && self.gave_up != Some(found.number);
        if is_own && found.number == self.last_put.number && row.version > self.last_put.base {
            return self.acquired(now, row.version, random);
        }
        let is_current = |held: Held| held.number == found.number && !self.is_stale(held);
        if is_own && self.held.is_some_and(is_current) {
            return self.renew(now);
        }
        let mut actions = self.end_held(now);
        actions.extend(self.watch(now, &found, row.version, random));
        actions
    }

    /// Takes the lease of a duty without a row, as it was never taken, or the table was restored from a copy without it.
    fn row_missing(&mut self, now: Instant, random: &mut impl Rng) -> Vec<Action> {
        if self.has_lost_lease(now) || self.is_settled(now) {
            return self.put(now, self.next_number(0), 0, true);
        }
        let mut actions = self.end_held(now);
        actions.extend(self.wait(now, self.settings.poll_interval, random));
        actions
    }

    /// Ends the held lease, as another entry may hold the duty now.
    fn end_held(&mut self, now: Instant) -> Vec<Action> {
        if self.held.take().is_none() {
            return Vec::new();
        }
        self.start_cooldown(now);
        vec![Action::End]
    }

    /// Waits until the holder's lease is released, given up or expired, then takes the duty.
    ///
    /// If a watcher counted the lease only from its own first read of a row version, nobody would perform the duty of a
    /// killed holder for up to two thirds of a lease longer. It therefore also uses the expiry time from the holder's
    /// notice. A notice is received later than it was sent, so the lease has expired by then, unless a different
    /// version of the row shows that it was renewed since.
    fn watch(&mut self, now: Instant, found: &Record, version: u64, random: &mut impl Rng) -> Vec<Action> {
        let since = match self.observation {
            Some(observation) if observation.version == version => observation.since,
            _ => now,
        };
        self.observation = Some(Observation { version, since });
        let expires_at = self
            .received
            .and_then(|received| received.expires_at(found.number, version));
        let has_expired = now.since(since) >= found.length() || expires_at.is_some_and(|at| now >= at);
        let is_given_up = self.received.is_some_and(|received| received.is_given_up(found.number));
        let is_free = (found.released || is_given_up) && now >= self.settings.cooldown_until && self.is_settled(now);
        if is_free || has_expired {
            // A lease that was taken after a restored release is lost, but its orders may still be in flight.
            let released = found.released && self.is_settled(now);
            return self.put(now, self.next_number(found.number), version, released);
        }
        let remaining = expires_at.map_or(self.settings.poll_interval, |at| at.since(now));
        self.wait(now, self.settings.poll_interval.min(remaining), random)
    }

    /// Records a notice, unless a newer one was received before, or the table was restored since.
    fn receive(&mut self, now: Instant, notice: Notice) -> Vec<Action> {
        let is_superseded = self.received.is_some_and(|received| !notice.replaces(received.notice));
        if is_superseded || notice.number() <= self.floor() {
            return Vec::new();
        }
        self.received = Some(Received { notice, at: now });
        match notice {
            Notice::GaveUp { .. } if self.phase == Phase::Waiting && self.held.is_none() => vec![Action::Wake(now)],
            _ => Vec::new(),
        }
    }

    /// Gives up the held lease without a write to the table.
    ///
    /// The row still names this entry as the holder, and a renewal with an unknown ending may still take effect. An
    /// entry that receives the notice does not have to wait until the lease expires.
    fn give_up(&mut self, now: Instant) -> Vec<Action> {
        let Some(held) = self.held.take() else {
            return Vec::new();
        };
        self.gave_up = Some(held.number);
        self.start_cooldown(now);
        vec![Action::End]
    }

    /// Prevents this entry from taking a released duty early for the length of a lease.
    ///
    /// A receiver that does not check fencing numbers could not distinguish this entry's last orders under the old
    /// number from its first ones under a new number.
    fn start_cooldown(&mut self, now: Instant) {
        self.settings.cooldown_until = self.settings.cooldown_until.max(now + self.settings.length);
    }

    /// Releases the duty in the table for good.
    fn resign(&mut self) -> Vec<Action> {
        self.phase = Phase::Resigned;
        let Some(held) = self.held.take() else {
            return Vec::new();
        };
        if self.is_stale(held) {
            // The row may already be another entry's, and its version no longer tells.
            return vec![Action::End];
        }
        let record = self.record(held.number, true);
        vec![Action::End, Action::Write(record.write_over(&self.duty, held.version))]
    }

    /// Waits twice as long after each failure, because an outage ends for all entries at the same time.
    fn back_off(&mut self, now: Instant, random: &mut impl Rng) -> Vec<Action> {
        let interval = if self.held.is_some() {
            self.settings.renewal_interval
        } else {
            self.settings.poll_interval
        };
        let backoff = interval.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.wait(now, backoff.min(self.settings.backoff_limit), random)
    }

    /// Sets the timer to `time` from now, reduced by the jitter.
    fn wait(&mut self, now: Instant, time: Duration, random: &mut impl Rng) -> Vec<Action> {
        self.phase = Phase::Waiting;
        let jitter = random.next_u32() % (self.settings.jitter_percent + 1);
        vec![Action::Wake(now + time * (100 - jitter) / 100)]
    }
}
