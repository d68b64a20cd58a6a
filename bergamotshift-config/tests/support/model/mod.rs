//! The acceptance protocol's kernels with every order of what may happen to them.

use core::hash::Hash;
use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_config::accept::Member;
use bergamotshift_config::accept::Proposer;
use bergamotshift_config::accept::Timing;
use bergamotshift_config::accept::View;
use bergamotshift_config::accept::member;
use bergamotshift_config::accept::proposer;
use bergamotshift_config::accept::proposer::Outcome;
use bergamotshift_config::accept::record;
use bergamotshift_config::accept::record::Revision;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::table::Table;

mod bounds;
mod rules;
mod start;

pub use bounds::Bounds;
pub use bounds::Defect;
pub use bounds::Rule;
use bounds::break_writes;
use bounds::take_proposed_for_accepted;

/// The zones, with one entry each.
pub const ZONES: [&str; 2] = ["zone-0", "zone-1"];

/// How far one step of the clock goes.
const STEP: Duration = Duration::from_secs(1);

/// A call to the platform under way.
///
/// A read of several rows is no snapshot: the head is read last, when the other rows may be out of date already.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Read(Vec<Key>, Vec<Option<Row>>),
    Write(Vec<Write>),
    Fetch(Digest),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    /// Missing when it is done.
    proposer: Option<Proposer>,
    call: Option<Call>,
    outcome: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    member: Member,
    calls: Vec<Call>,
    in_force: Option<Revision>,
}

/// Everything at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: Instant,
    table: Table,
    objects: Arc<BTreeMap<Digest, Manifest>>,
    operators: Vec<Operator>,
    entries: Vec<Entry>,
    /// A write whose sender was told nothing and which may still take effect.
    late_write: Option<Vec<Write>>,
    /// Whether the last zone reaches neither the platform nor the other zone.
    cut: bool,
    /// When each zone's row last moved, and when the head's proposal was put there.
    moved: [Instant; 2],
    proposed: Instant,
    left: [u8; 5],
}

/// Places in `State::left`.
const STEPS: usize = 0;
const LOST: usize = 1;
const LATE: usize = 2;
const CUTS: usize = 3;
const RESTARTS: usize = 4;

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Clock,
    OperatorCall(usize, Fate),
    EntryCall(usize, usize),
    Hear { from: usize, to: usize },
    Restart(usize),
    Cut,
    Heal,
    LateWrite,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Served,
    /// It took effect and its answer was lost.
    Unanswered,
    /// It was lost on its way.
    Lost,
    /// Its sender gave up; it may still take effect.
    Late,
}

/// The spans of time in the model: reads are as frequent as wanted, the rest is counted in steps of the clock.
fn timing() -> Timing {
    Timing {
        poll_interval: Duration::ZERO,
        idle_poll_interval: Duration::ZERO,
        max_backoff: Duration::ZERO,
        standby_delay: Duration::ZERO,
        heartbeat_interval: STEP,
        announce_interval: Duration::MAX,
        watch_interval: Duration::ZERO,
        zone_timeout: STEP,
        staging_timeout: STEP * 2,
        takeover_timeout: STEP,
        turn_timeout: STEP * 2,
        ..Timing::default()
    }
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(0)
}

fn json(body: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(body).expect("rows are JSON")
}

impl State {
    /// Returns every state that may come next, or what rule the step to it broke.
    pub fn next(&self, bounds: &Bounds) -> impl Iterator<Item = Result<Self, Rule>> {
        self.steps(bounds).into_iter().map(move |step| {
            let mut next = self.clone();
            next.take(step, bounds)?;
            next.check(self, bounds)?;
            Ok(next)
        })
    }

    fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.left[STEPS] > 0 {
            steps.push(Step::Clock);
        }
        for (place, operator) in self.operators.iter().enumerate() {
            if let Some(call) = &operator.call {
                steps.extend(self.fates(call).map(|fate| Step::OperatorCall(place, fate)));
            }
        }
        for (place, entry) in self.entries.iter().enumerate() {
            let away = self.cut && place == ZONES.len() - 1;
            let calls = if away { 0 } else { entry.calls.len() };
            steps.extend((0..calls).map(|call| Step::EntryCall(place, call)));
            let other = 1 - place;
            if bounds.gossip && !self.cut && entry.member.view().row > self.entries[other].member.view().row {
                steps.push(Step::Hear { from: place, to: other });
            }
            if place == ZONES.len() - 1 && self.left[RESTARTS] > 0 {
                steps.push(Step::Restart(place));
            }
        }
        if !self.cut && self.left[CUTS] > 0 {
            steps.push(Step::Cut);
        }
        if self.cut {
            steps.push(Step::Heal);
        }
        if self.late_write.is_some() {
            steps.push(Step::LateWrite);
        }
        steps
    }

    fn fates(&self, call: &Call) -> impl Iterator<Item = Fate> + use<> {
        let write = matches!(call, Call::Write(_));
        let lost = write && self.left[LOST] > 0;
        let late = write && self.left[LATE] > 0;
        let fates = [
            (true, Fate::Served),
            (lost, Fate::Unanswered),
            (lost, Fate::Lost),
            (late, Fate::Late),
        ];
        fates.into_iter().filter(|(may, _)| *may).map(|(_, fate)| fate)
    }

    fn take(&mut self, step: Step, bounds: &Bounds) -> Result<(), Rule> {
        match step {
            Step::Clock => {
                self.left[STEPS] -= 1;
                self.now = self.now + STEP;
                (0..self.entries.len()).try_for_each(|entry| self.tell_entry(entry, member::Event::Tick, bounds))?;
                (0..self.operators.len())
                    .try_for_each(|operator| self.tell_operator(operator, proposer::Event::Tick, bounds))
            }
            Step::OperatorCall(place, fate) => self.serve_operator(place, fate, bounds),
            Step::EntryCall(place, call) => self.serve_entry(place, call, bounds),
            Step::Hear { from, to } => {
                let announcement = self.entries[from].member.announcement();
                let from = name::Entry::new(from.to_string());
                self.tell_entry(to, member::Event::Announced { from, announcement }, bounds)
            }
            Step::Restart(place) => {
                self.left[RESTARTS] -= 1;
                let member = self.fresh(place);
                let entry = &mut self.entries[place];
                entry.member = member;
                entry.calls.clear();
                if bounds.defect != Some(Defect::Forgetful) {
                    entry.in_force = None;
                }
                self.tell_entry(place, member::Event::Tick, bounds)
            }
            Step::Cut => {
                self.left[CUTS] -= 1;
                self.cut = true;
                Ok(())
            }
            Step::Heal => {
                self.cut = false;
                Ok(())
            }
            Step::LateWrite => {
                let writes = self.late_write.take().unwrap_or_default();
                self.transact(&writes, bounds).map(|_| ())
            }
        }
    }

    /// Gives an operator an event, and answers at once what depends on nobody else: time, stores and fetches.
    fn tell_operator(&mut self, place: usize, event: proposer::Event, bounds: &Bounds) -> Result<(), Rule> {
        let Some(mut proposer) = self.operators[place].proposer.take() else {
            return Ok(());
        };
        let mut events = vec![event];
        let mut told = None;
        let mut outcome = None;
        while let Some(event) = events.pop() {
            for action in proposer.handle(self.now, event) {
                match action {
                    proposer::Action::Read(keys) => self.operators[place].call = Some(Call::Read(keys, Vec::new())),
                    proposer::Action::Write(writes) => self.operators[place].call = Some(Call::Write(writes)),
                    proposer::Action::Fetch(digest) => {
                        events.push(proposer::Event::Fetched(self.objects[&digest].clone()));
                    }
                    proposer::Action::Store(content) => {
                        Arc::make_mut(&mut self.objects).insert(content.digest(), content);
                        events.push(proposer::Event::Stored);
                    }
                    proposer::Action::Publish(view) => told = Some(view),
                    proposer::Action::Finish(end) => outcome = Some(end),
                }
            }
            if proposer.wake().is_some_and(|wake| wake <= self.now) {
                events.push(proposer::Event::Tick);
            }
        }
        self.operators[place].proposer = outcome.is_none().then_some(proposer);
        self.operators[place].outcome = outcome;
        // Both operators use the first zone's entry.
        told.map_or(Ok(()), |view: View| {
            self.tell_entry(0, member::Event::Published(view), bounds)
        })
    }

    fn tell_entry(&mut self, place: usize, event: member::Event, bounds: &Bounds) -> Result<(), Rule> {
        const REPEATS: usize = 3;
        let Some(entry) = self.entries.get_mut(place) else {
            return Ok(());
        };
        let mut actions = entry.member.handle(self.now, event, &mut rng());
        // Repeated announcements change nothing here: what is known may be heard at any time.
        for _ in 0..REPEATS {
            actions.extend(entry.member.handle(self.now, member::Event::Tick, &mut rng()));
        }
        let mut fetched = Vec::new();
        for action in actions {
            match action {
                member::Action::Read(keys) => entry.calls.push(Call::Read(keys, Vec::new())),
                member::Action::Write(writes) => entry.calls.push(Call::Write(writes)),
                member::Action::Fetch { digest, .. } if place == 0 => fetched.push(self.objects[&digest].clone()),
                member::Action::Fetch { digest, .. } => entry.calls.push(Call::Fetch(digest)),
                member::Action::Announce(_) | member::Action::Reply { .. } => {}
                member::Action::Switch { revision, .. } => {
                    let upwards = entry.in_force.is_none_or(|before| before.version < revision.version);
                    bounds.check(Rule::Upwards, upwards)?;
                    entry.in_force = Some(revision);
                }
                member::Action::Reject { reason, .. } => panic!("the model's folders are valid: {reason}"),
            }
        }
        entry.calls.sort_unstable_by_key(|call| match call {
            Call::Read(..) => 0,
            Call::Write(_) => 1,
            Call::Fetch(_) => 2,
        });
        // The first zone's entry has content as soon as it wants it; the last zone's may wait for it for long.
        fetched
            .into_iter()
            .try_for_each(|content| self.tell_entry(place, member::Event::Fetched(content), bounds))
    }

    fn serve_operator(&mut self, place: usize, fate: Fate, bounds: &Bounds) -> Result<(), Rule> {
        let Some(mut call) = self.operators[place].call.take() else {
            return Ok(());
        };
        if let Call::Write(writes) = &mut call {
            break_writes(writes, bounds.defect);
        }
        let event = match self.serve(call, fate, bounds)? {
            Reply::More(call) => {
                self.operators[place].call = Some(call);
                return Ok(());
            }
            Reply::Rows(keys, mut rows) => {
                if bounds.defect == Some(Defect::NoRecord) {
                    for (_, row) in keys
                        .iter()
                        .zip(&mut rows)
                        .filter(|(key, _)| key.partition == record::VERSIONS)
                    {
                        *row = None;
                    }
                }
                proposer::Event::Rows(rows)
            }
            Reply::Ended(ending) => proposer::Event::Ended(ending),
            Reply::Content(_) => return Ok(()),
        };
        self.tell_operator(place, event, bounds)
    }

    fn serve_entry(&mut self, place: usize, call: usize, bounds: &Bounds) -> Result<(), Rule> {
        let call = self.entries[place].calls.remove(call);
        let reply = match self.serve(call, Fate::Served, bounds)? {
            // An entry's two rows have nothing to do with each other, so it makes no difference when each is read.
            Reply::More(call) => self.serve(call, Fate::Served, bounds)?,
            reply => reply,
        };
        let event = match reply {
            Reply::More(_) => return Ok(()),
            Reply::Rows(_, mut rows) => {
                if bounds.defect == Some(Defect::Eager) {
                    take_proposed_for_accepted(&mut rows);
                }
                member::Event::Rows(rows)
            }
            Reply::Ended(ending) => member::Event::Ended(ending),
            Reply::Content(content) => member::Event::Fetched(content),
        };
        self.tell_entry(place, event, bounds)
    }

    fn serve(&mut self, call: Call, fate: Fate, bounds: &Bounds) -> Result<Reply, Rule> {
        Ok(match call {
            Call::Read(keys, mut rows) => {
                rows.push(self.table.get(&keys[rows.len()]));
                if rows.len() < keys.len() {
                    Reply::More(Call::Read(keys, rows))
                } else {
                    Reply::Rows(keys, rows)
                }
            }
            Call::Write(writes) => Reply::Ended(match fate {
                Fate::Served => self.transact(&writes, bounds)?,
                Fate::Unanswered => {
                    self.left[LOST] -= 1;
                    self.transact(&writes, bounds)?;
                    Ending::Unknown
                }
                Fate::Lost => {
                    self.left[LOST] -= 1;
                    Ending::Unknown
                }
                Fate::Late => {
                    self.left[LATE] -= 1;
                    self.late_write = Some(writes);
                    Ending::Unknown
                }
            }),
            Call::Fetch(digest) => Reply::Content(self.objects[&digest].clone()),
        })
    }

    fn transact(&mut self, writes: &[Write], bounds: &Bounds) -> Result<Ending, Rule> {
        let before = self.head().proposed;
        let ending = self.table.transact(writes);
        if ending != Ending::Applied {
            return Ok(ending);
        }
        for (zone, moved) in ZONES.iter().zip(&mut self.moved) {
            let key = record::stage_key(&name::Zone::new(zone));
            if writes
                .iter()
                .any(|write| write.key == key && write.change != Change::Check)
            {
                *moved = self.now;
            }
        }
        if self.head().proposed.is_some_and(|proposed| Some(proposed) != before) {
            self.proposed = self.now;
        }
        let accepts = writes.iter().any(|write| write.key.partition == record::VERSIONS);
        if accepts {
            self.check_staged(bounds).map(|()| ending)
        } else {
            Ok(ending)
        }
    }

    /// Returns what each operator was told.
    pub fn outcomes(&self) -> impl Iterator<Item = Option<&Outcome>> {
        self.operators.iter().map(|operator| operator.outcome.as_ref())
    }
}

/// The platform's answer.
enum Reply {
    More(Call),
    Rows(Vec<Key>, Vec<Option<Row>>),
    Ended(Ending),
    Content(Manifest),
}
